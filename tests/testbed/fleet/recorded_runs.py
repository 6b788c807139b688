"""Builds synthetic run records whose metrics are known."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.testbed.event_record import AttemptOutcome, AttemptRecord, RequestRecord
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule
from burlmoor.testbed.fleet.load import Load
from burlmoor.testbed.fleet.record import RunPlan, RunRecord
from burlmoor.testbed.job_classes import JOB_CLASSES

if TYPE_CHECKING:
    from collections.abc import Callable

SEARCH, _, CONFIRM = JOB_CLASSES
SPECS = {f"s-{number}": ExecutorSpec(cores=4.0, slots=6, speed=1.0) for number in range(4)}


def make_record(*faults: Fault) -> RunRecord:
    """Return the record of a run with four nodes and four equal executors, but no jobs."""
    plan = RunPlan(4, 4, 20.0, 1, 20.0, schedule=FaultSchedule(1, faults))
    load = Load(20.0, 20.0, 4, 1, scale=2.0)
    return RunRecord(plan, load, SPECS, ["a"] * 4, ["a"] * 4, start_ms=1000.0)


def make_job(
    number: int, sent_ms: float, executor: int, work_ms: float = 100.0
) -> tuple[RequestRecord, AttemptRecord]:
    """Return the records of a job that started immediately and was served."""
    job_id = f"j{number}"
    ended_ms = sent_ms + work_ms
    request = RequestRecord(
        job_id,
        SEARCH.name,
        sent_ms,
        SEARCH.timeout_ms,
        work_ms,
        answered_ms=ended_ms,
        status=200,
        answer_count=1,
    )
    request.body = f"{job_id}@s-{executor}".encode()
    attempt = AttemptRecord(
        job_id, SEARCH.name, f"s-{executor}", sent_ms, sent_ms, ended_ms, AttemptOutcome.DONE, "0", work_ms
    )
    return request, attempt


def make_run(select_executor: Callable[[int], int], interval_ms: float = 20.0) -> RunRecord:
    """Return the record of a run with one job per interval, each at the executor selected for its number."""
    record = make_record()
    for number in range(int(20_000.0 / interval_ms)):
        sent_ms = record.start_ms + number * interval_ms
        request, attempt = make_job(number, sent_ms, select_executor(number))
        record.requests.append(request)
        record.attempts.append(attempt)
    return record


def make_even_run() -> RunRecord:
    """Return the record of a run without violations, whose jobs are assigned round robin."""
    return make_run(lambda number: number % 4)
