"""A stand-in of a client: sends one job on a connection of its own and waits for the answer.

Its time counts from the request's last byte. It is recorded as `given up` if there was neither an answer nor
the end of the connection by then, and as `closed` if the connection ended.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import secrets
from typing import TYPE_CHECKING

from standins_2.wire import encode_request, exchange

if TYPE_CHECKING:
    from standins_2.record import Record

_NUMBERS = itertools.count(1)
# A final answer counts for up to half a second after the client's time; the rest is slack of this client.
GIVE_UP_SLACK_SECONDS = 0.6


class Client:
    """Sends jobs to one node."""

    def __init__(self, node_address: str, record: Record, *, node: str = "n1") -> None:
        self._node_address = node_address
        self._record = record
        self._node = node

    async def send_job(
        self,
        job_class: str,
        work_ms: float,
        timeout_ms: int,
        *,
        key: str = "",
        **order: str,
    ) -> str:
        """Send a job and wait for its answer; return the job's id."""
        job_id = f"{next(_NUMBERS):06d}{secrets.token_hex(5)}"
        headers = {
            "Request-Id": job_id,
            "Request-Timeout-Ms": str(timeout_ms),
            "Work-Hint": str(int(work_ms * 1000.0)),
        }
        headers |= {"Idempotency-Key": key} if key else {}
        body = json.dumps({"work_ms": work_ms, **order}).encode()
        self._record.add("job sent", id=job_id, node=self._node, job_class=job_class, timeout_ms=timeout_ms)
        request = encode_request("POST", f"/{job_class}/{job_id}", headers, body)
        status, text = "none", ""
        try:
            async with asyncio.timeout(timeout_ms / 1000.0 + GIVE_UP_SLACK_SECONDS) as limit:

                def on_written() -> None:
                    self._record.add("request written", id=job_id)
                    now = asyncio.get_running_loop().time()
                    limit.reschedule(now + timeout_ms / 1000.0 + GIVE_UP_SLACK_SECONDS)

                answer = await exchange(self._node_address, request, on_written)
                status, text = answer.first_line[1], answer.body.decode("utf-8", "replace")
        except TimeoutError:
            status = "given up"
        except OSError as error:
            status, text = "closed", repr(error)
        self._record.add("job answered", id=job_id, status=status, text=text[:80])
        return job_id
