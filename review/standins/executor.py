"""A stand-in executor: takes jobs with 202 and tells by call-backs what becomes of them."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from standins.http import Message, Server, call, encode_request, encode_response

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from standins.record import Record

_HOST = "127.0.0.1"
_MAX_TRIES = 10  # of one call-back
_RETRY_SECONDS = 0.1
ACCEPTED = encode_response(HTTPStatus.ACCEPTED)


@dataclass
class Attempt:
    """The request for a job that has arrived completely at an executor."""

    request_id: str
    executor: Executor
    arrived_at: float  # seconds since the run began
    idempotency_key: str
    is_cancelled: bool = False
    has_ended: bool = False


class Executor:
    """Listens at a free port. `take` decides what becomes of each attempt and returns the response to it.

    - `attempts`: all attempts that have arrived
    - `callback_address`: where the node takes call-backs
    """

    def __init__(self, name: str, record: Record, take: Callable[[Attempt], bytes | None]) -> None:
        self.name = name
        self.attempts: list[Attempt] = []
        self.callback_address = ("", 0)
        self._record = record
        self._take = take
        self._server = Server(_HOST, self._respond)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def dial(self) -> str:
        """The address in the list."""
        host, port = self._server.address
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    def close(self) -> None:
        """Stop listening, and end the jobs."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Do the work of a job beside everything else."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def end_process(self) -> None:
        """End the process: its jobs are lost, which its machine tells, and connections are refused."""
        self.close()
        for attempt in self.attempts:
            if not (attempt.has_ended or attempt.is_cancelled):
                await self.tell(attempt, "lost")

    async def _respond(self, request: Message) -> bytes | None:
        if request.method == "DELETE":
            return self._cancel(request.target.rsplit("/", 1)[-1])
        if request.method != "POST":
            return encode_response(HTTPStatus.NOT_FOUND)
        request_id = request.headers["request-id"]
        arrived_at = self._record.write(f"{self.name}: attempt of {request_id} arrived")
        attempt = Attempt(request_id, self, arrived_at, request.headers.get("idempotency-key", ""))
        self.attempts.append(attempt)
        return self._take(attempt)

    def _cancel(self, request_id: str) -> bytes:
        self._record.write(f"{self.name}: DELETE of {request_id} arrived")
        found = [attempt for attempt in self.attempts if attempt.request_id == request_id]
        for attempt in found:
            attempt.is_cancelled = True
        return encode_response(HTTPStatus.NO_CONTENT if found else HTTPStatus.NOT_FOUND)

    async def tell(self, attempt: Attempt, state: str, **fields: str) -> None:
        """Send a call-back, repeated until it is answered, ten times at most."""
        self._record.write(f"{self.name}: tells '{state}' of {attempt.request_id}")
        message = {"id": attempt.request_id, "from": self.name, "state": state, **fields}
        headers = {"Host": "node", "Connection": "close"}
        request = encode_request("POST", "/v1/job-events", headers, json.dumps(message).encode())
        for _ in range(_MAX_TRIES):
            response = await call(self.callback_address, request)
            if response is not None and response.status in {HTTPStatus.OK, HTTPStatus.NO_CONTENT}:
                return
            await asyncio.sleep(_RETRY_SECONDS)

    async def run(self, attempt: Attempt, seconds: float) -> None:
        """Run a job: tell its start, and its result unless it was cancelled."""
        await self.tell(attempt, "started")
        await asyncio.sleep(seconds)
        if not attempt.is_cancelled:
            attempt.has_ended = True
            await self.tell(attempt, "done", result=f"{attempt.request_id} by {self.name}")
