"""How executors of a simulated cluster recognize repeats of a job by its key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.types.settings import DeduplicationScope, Idempotency, JobClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burlmoor.simulation.records import AttemptRecord


def is_duplicate(
    record: AttemptRecord, job_class: JobClass, records: Iterable[AttemptRecord], now: float
) -> bool:
    """Whether an executor in the same deduplication scope has already begun this job within the window."""
    if job_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return False
    return any(
        earlier.began_at is not None
        and now < earlier.began_at + job_class.deduplication_window_ms
        and earlier.request_id == record.request_id
        and in_same_deduplication_scope(job_class, earlier, record)
        for earlier in records
    )


def in_same_deduplication_scope(job_class: JobClass, first: AttemptRecord, second: AttemptRecord) -> bool:
    """Whether the executors of two attempts recognize each other's repeats of a job of this class."""
    match job_class.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return first.zone == second.zone
        case DeduplicationScope.CELL:
            return first.zone == second.zone and first.cell == second.cell
