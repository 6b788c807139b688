"""Case 3: a node that starts while discovery is down sends work to executors that it counts as told of.

Lists are pushed. A node dies; meanwhile executors begin to drain, and the agent on its machine is sent that;
then discovery goes down, and the agent is silent. The node starts again with the list that it had last.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from pathlib import Path

from standins.case import Case, run_case
from standins.client import Answer, Job, submit
from standins.deployment import make_car_hire_settings
from standins.executor import ACCEPTED, Attempt, Executor

_EXECUTOR_COUNT = 6
_LEAVING_COUNT = 4
_DEPOSIT_COUNT = 20
_DEPOSIT_TIMEOUT_MS = 20000
_DEPOSIT_SECONDS = 2.0  # of running
_WARM_JOB_COUNT = 10
_WARM_SECONDS = 0.1
_DRAIN_SECONDS = 3.3  # from the start of the drain until the executors' processes end
_OUTAGE_AFTER_SECONDS = 1.0  # from the start of the drain until discovery goes down
_DEPOSITS_AFTER_SECONDS = 0.3  # from the node's readiness
_GRACE_SECONDS = 0.25 + 0.05  # `StopSendingWithin`, and 50 ms longer


def _take(attempt: Attempt) -> bytes:
    is_warm_job = attempt.request_id.startswith("warm")
    seconds = _WARM_SECONDS if is_warm_job else _DEPOSIT_SECONDS
    attempt.executor.start_task(attempt.executor.run(attempt, seconds))
    return ACCEPTED


async def _end_processes(executors: list[Executor], at: float, case: Case) -> None:
    """End the processes of these executors at this time; their machines tell which jobs are lost."""
    await asyncio.sleep(max(0.0, at - case.record.now()))
    for executor in executors:
        case.record.write(f"{executor.name}: its process ends")
        await executor.end_process()


async def _submit_deposits(case: Case) -> list[Answer]:
    jobs = [
        Job(f"deposit-{number}", "deposit", _DEPOSIT_TIMEOUT_MS, 2000.0, tenant="taipei")
        for number in range(_DEPOSIT_COUNT)
    ]
    return await asyncio.gather(*(submit(job, case.node.address, case.record) for job in jobs))


def find_sends_to_leaving(leaving: list[Executor], started_at: float) -> list[str]:
    """Return the attempts at executors that drained before the node's process was started."""
    return [
        f"{attempt.request_id} was sent to {executor.name} {attempt.arrived_at - started_at:.3f} s after the "
        "start of a process that counts as told of its drain from its first moment"
        for executor in leaving
        for attempt in executor.attempts
        if attempt.arrived_at > started_at + _GRACE_SECONDS
    ]


async def play(case: Case) -> list[str]:
    """Kill the node, begin the drain and the outage, start the node and send it deposits."""
    await case.start_stand_ins(_EXECUTOR_COUNT, _take)
    settings, last_list = make_car_hire_settings(), case.discovery.whole_list()
    await case.node.start(settings, last_list)
    for number in range(_WARM_JOB_COUNT):
        key = f"warm-{number}"
        job = Job(key, "booking", 10000, 500.0, idempotency_key=key, tenant="tainan")
        await submit(job, case.node.address, case.record)
    case.node.kill()
    leaving = case.executors[:_LEAVING_COUNT]
    for executor in leaving:
        case.discovery.set_entry(executor.name, health="leaving")
    ends_at = case.record.now() + _DRAIN_SECONDS
    await asyncio.sleep(_OUTAGE_AFTER_SECONDS)
    case.discovery.is_silent = case.has_trouble
    case.record.write(f"discovery is {'down: its agent is silent' if case.has_trouble else 'up'}")
    started_at = await case.node.start(settings, last_list)
    await asyncio.sleep(_DEPOSITS_AFTER_SECONDS)
    end_task = asyncio.create_task(_end_processes(leaving, ends_at, case))
    answers = await _submit_deposits(case)
    await end_task
    lost = [answer for answer in answers if answer.status == HTTPStatus.BAD_GATEWAY]
    case.record.write(f"{len(lost)} of {_DEPOSIT_COUNT} deposits that the node had taken failed: 502")
    return find_sends_to_leaving(leaving, started_at)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
