"""A stand-in client: submits one job and waits for its answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.http import Message, encode_request, read_message

if TYPE_CHECKING:
    from standins.record import Record

_SLACK_SECONDS = 0.5  # an answer up to this late only earns nothing


@dataclass(frozen=True)
class Job:
    """A job that a client submits."""

    request_id: str
    job_class: str
    timeout_ms: int
    work_ms: float
    idempotency_key: str = ""
    tenant: str = "sahil-net"

    def encode(self) -> bytes:
        """Encode the request."""
        headers = {
            "Host": "origin.svc",
            "Request-Id": self.request_id,
            "Tenant": self.tenant,
            "Request-Timeout-Ms": str(self.timeout_ms),
            "Work-Hint": str(int(self.work_ms * 1000)),
            "Request-Info": "slots=1",
        }
        if self.idempotency_key:
            headers["Idempotency-Key"] = self.idempotency_key
        return encode_request("POST", f"/{self.job_class}", headers, b"{}")


@dataclass(frozen=True)
class Answer:
    """What a client saw; `status` is None if it got no answer."""

    job: Job
    answered_at: float  # seconds since the run began
    status: int | None


async def submit(job: Job, address: tuple[str, int], record: Record) -> Answer:
    """Submit a job on a new connection, and wait for its answer for as long as the job's timeout allows."""
    record.write(f"client: sends {job.request_id} ({job.job_class}, {job.timeout_ms} ms)")
    response: Message | None = None
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return Answer(job, record.write(f"client: {job.request_id}: could not connect"), None)
    try:
        writer.write(job.encode())
        response = await asyncio.wait_for(read_message(reader), job.timeout_ms / 1000.0 + _SLACK_SECONDS)
        text = "the connection ended" if response is None else f"answered {response.status}"
    except TimeoutError:
        text = "no answer in time"
    finally:
        writer.close()
    answered_at = record.write(f"client: {job.request_id}: {text}")
    return Answer(job, answered_at, None if response is None else response.status)
