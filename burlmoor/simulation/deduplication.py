"""How executors of a simulated cluster recognize repeats of a job by its key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.types.settings import DeduplicationScope, Idempotency, JobClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burlmoor.simulation.records import ExecutorRecord


def is_duplicate(
    record: ExecutorRecord, job_class: JobClass, records: Iterable[ExecutorRecord], now: float
) -> bool:
    """Whether an executor that shares deduplication has already begun this job within the window."""
    if job_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return False
    return any(
        earlier.began_at is not None
        and now < earlier.began_at + job_class.deduplication_window_ms
        and earlier.request_id == record.request_id
        and shares_deduplication(job_class, earlier, record)
        for earlier in records
    )


def shares_deduplication(job_class: JobClass, first: ExecutorRecord, second: ExecutorRecord) -> bool:
    """Whether the executors of two attempts recognize each other's repeats of a job of this class."""
    match job_class.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return first.zone == second.zone
        case DeduplicationScope.CELL:
            return first.zone == second.zone and first.cell == second.cell
