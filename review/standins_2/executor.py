"""A stand-in of an executor: takes jobs, runs them on shared cores, and reports on them by call-backs.

A job occupies one slot. The running jobs share the cores evenly, at most one core each; further jobs wait in
order. A cancellation is confirmed and stops no work.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from standins_2.wire import HOST, Message, encode_request, encode_response, exchange, port_of, serve

if TYPE_CHECKING:
    from standins_2.record import Record

_CALLBACK_TRIES = 10
_CALLBACK_PAUSE_SECONDS = 0.05
_STEP_SECONDS = 0.005


@dataclass(frozen=True)
class ExecutorSpec:
    """The size of an executor; work is in ms on one core."""

    cores: float = 4.0
    slots: int = 5
    closes_connections: bool = False  # after each answer
    hands_back_after_seconds: float | None = None  # if set, no job is started: each is handed back


@dataclass(eq=False)
class _Job:
    """A job that an executor has taken."""

    id: str
    node_address: str
    remaining_ms: float


class Executor:
    """One executor process, which listens at an address of its own for each node."""

    def __init__(self, name: str, spec: ExecutorSpec, record: Record) -> None:
        self.name = name
        self.dial: dict[str, str] = {}  # by node
        self._spec = spec
        self._record = record
        self._running: list[_Job] = []
        self._queue: deque[_Job] = deque()
        self._cancelled_ids: set[str] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def listen_for(self, node: str, node_address: str, port: int = 0) -> None:
        """Listen at a new address for a node, whose address takes the call-backs."""

        async def handle(request: Message) -> bytes | None:
            return self._handle(node, node_address, request)

        server = await serve(handle, port)
        self.dial[node] = f"{HOST}:{port_of(server)}"

    def start(self) -> None:
        """Begin to run jobs."""
        self._spawn(self._run())

    def crash(self) -> None:
        """End the process; its machine's agent tells the nodes of the jobs that are lost."""
        self._record.add("executor crashed", executor=self.name)
        jobs = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for job in jobs:
            self._end(job, "lost")

    def _spawn(self, coroutine: Any) -> None:  # noqa: ANN401
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle(self, node: str, node_address: str, request: Message) -> bytes | None:
        method, path, _ = request.first_line
        if method == "DELETE":
            job_id = path.rsplit("/", 1)[-1]
            self._cancelled_ids.add(job_id)
            self._record.add("cancelled", executor=self.name, node=node, id=job_id)
            return encode_response(204)
        if method != "POST":
            return encode_response(404)
        order = json.loads(request.body)
        job = _Job(request.headers["request-id"], node_address, order["work_ms"])
        told_ms = int(request.headers["request-timeout-ms"])
        self._record.add("attempt arrived", executor=self.name, node=node, id=job.id, told_ms=told_ms)
        if self._spec.hands_back_after_seconds is None:
            self._queue.append(job)
        else:
            self._spawn(self._hand_back(job, self._spec.hands_back_after_seconds))
        return encode_response(202, closes=self._spec.closes_connections)

    async def _hand_back(self, job: _Job, after_seconds: float) -> None:
        """Hand a waiting job back unstarted, unless it was cancelled."""
        await asyncio.sleep(after_seconds)
        if job.id not in self._cancelled_ids:
            self._end(job, "returned")

    async def _run(self) -> None:
        stepped_at = time.monotonic()
        while True:
            while self._queue and len(self._running) < self._spec.slots:
                job = self._queue.popleft()
                self._running.append(job)
                self._record.add("started", executor=self.name, id=job.id)
                self._call_back(job, state="started")
            await asyncio.sleep(_STEP_SECONDS)
            elapsed_ms = (time.monotonic() - stepped_at) * 1000.0
            stepped_at = time.monotonic()
            self._work(elapsed_ms)

    def _work(self, elapsed_ms: float) -> None:
        if not self._running:
            return
        speed = min(1.0, self._spec.cores / len(self._running))
        for job in list(self._running):
            job.remaining_ms -= elapsed_ms * speed
            if job.remaining_ms <= 0.0:
                self._running.remove(job)
                self._end(job, "done", result=f"{job.id}@{self.name}")

    def _end(self, job: _Job, state: str, **fields: str) -> None:
        self._record.add("ended", executor=self.name, id=job.id, state=state)
        self._call_back(job, state=state, **fields)

    def _call_back(self, job: _Job, **fields: str) -> None:
        body = json.dumps({"id": job.id, "from": self.name, **fields}).encode()
        self._spawn(self._deliver(job.node_address, body))

    @staticmethod
    async def _deliver(address: str, body: bytes) -> None:
        request = encode_request("POST", "/v1/job-events", {"Connection": "close"}, body)
        for _ in range(_CALLBACK_TRIES):
            with suppress(OSError):
                if (await exchange(address, request)).first_line[1] in {"200", "204"}:
                    return
            await asyncio.sleep(_CALLBACK_PAUSE_SECONDS)
