"""Case 3: a client that sends much behind its request and goes is noticed only seconds later.

The first executor hands the client's job back unstarted one second after it took it, when the client has
been gone for long. The node sends the job to further executors, which work for a client that has gone.
"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from standins.case import Case, CaseError, run_case
from standins.client import Job, submit
from standins.deployment import make_settings
from standins.executor import ACCEPTED, Attempt

_EXECUTOR_COUNT = 6
_CLASSES = ("slot-search", "confirm-booking")  # in turn
_ROUND_COUNT = 6
_ROUND_SECONDS = 7.0  # until nothing of a round's job is left
_WORK_MS = 2000.0
_WARM_JOB_COUNT = 20
_RUN_SECONDS = 0.1
_HAND_BACK_SECONDS = 1.0
_LEAVE_SECONDS = 0.25  # after the request was sent
_MAX_FLOOD_BYTES = 32 << 20
_BLOCK = b"x" * (1 << 20)
_RETRY_SECONDS = 0.001
_MAX_LATE_SECONDS = 0.1
_SLACK_SECONDS = 0.05  # every time limit is 50 ms longer


def _take(attempt: Attempt) -> bytes:
    executor = attempt.executor
    if attempt.request_id.startswith("warm"):
        executor.start_task(executor.run(attempt, _RUN_SECONDS))
    else:
        executor.start_task(_hand_back(attempt))
    return ACCEPTED


async def _hand_back(attempt: Attempt) -> None:
    """Hand a job back that has waited and was not started."""
    await asyncio.sleep(_HAND_BACK_SECONDS)
    if not attempt.is_cancelled:
        await attempt.executor.tell(attempt, "returned")


async def _flood(sock: socket.socket, case: Case) -> int:
    """Send as much as the connection takes until it is time to leave; return how many bytes."""
    leave_at = case.record.now() + _LEAVE_SECONDS
    sent = 0
    while sent < _MAX_FLOOD_BYTES and case.record.now() < leave_at:
        try:
            sent += sock.send(_BLOCK)
        except BlockingIOError:
            await asyncio.sleep(_RETRY_SECONDS)
    await asyncio.sleep(max(0.0, leave_at - case.record.now()))
    return sent


async def _send_and_leave(case: Case, job: Job) -> float:
    """Send a request, and much more if the disruption is on; then close the connection and return when."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.settimeout(0.0)  # non-blocking
        await loop.sock_connect(sock, case.node.address)
        await loop.sock_sendall(sock, job.encode())
        case.record.write(f"bad client: sent {job.request_id} ({job.job_class}, {job.timeout_ms} ms)")
        if case.has_trouble:
            sent = await _flood(sock, case)
            case.record.write(f"bad client: sent {sent} bytes more")
        else:
            await asyncio.sleep(_LEAVE_SECONDS)
    return case.record.write(f"bad client: closed its connection ({job.request_id})")


def find_late_attempts(attempts: list[Attempt], request_id: str, closed_at: float) -> list[str]:
    """Return the attempts of a job that began later after its client's close than allowed.

    Raises:
        CaseError: the job was never sent.
    """
    own = [attempt for attempt in attempts if attempt.request_id == request_id]
    if not own:
        text = f"{request_id} was never sent"
        raise CaseError(text)
    return [
        f"attempt of {request_id} at {attempt.executor.name} began {attempt.arrived_at - closed_at:.3f} s "
        "after its client had gone"
        for attempt in own
        if attempt.arrived_at - closed_at > _MAX_LATE_SECONDS + _SLACK_SECONDS
    ]


async def play(case: Case) -> list[str]:
    """Let several clients send and leave, and return the attempts that began too late."""
    await case.start_stand_ins(_EXECUTOR_COUNT, _take)
    await case.node.start(make_settings())
    for number in range(_WARM_JOB_COUNT):
        job_class = _CLASSES[number % len(_CLASSES)]
        await submit(Job(f"warm-{number}", job_class, 5000, _WORK_MS), case.node.address, case.record)
    breaks = []
    for number in range(_ROUND_COUNT):
        job = Job(f"bad-{number}", _CLASSES[number % len(_CLASSES)], 5000, _WORK_MS)
        closed_at = await _send_and_leave(case, job)
        await asyncio.sleep(_ROUND_SECONDS)
        breaks += find_late_attempts(case.attempts(), job.request_id, closed_at)
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
