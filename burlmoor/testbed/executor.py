"""A stand-in executor: the executor model behind HTTP, with its call-backs and its failures."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

import trio
from msgspec import UNSET

from burlmoor.testbed.clock import now_ms, unix_now_ms
from burlmoor.testbed.event_record import AttemptRecord, EventRecord
from burlmoor.testbed.executor_callbacks import CallbackSender
from burlmoor.testbed.executor_model import ExecutorModel, ExecutorSpec, JobProgress
from burlmoor.testbed.http_stream import HttpMessage, HttpServer, HttpStream

if TYPE_CHECKING:
    from collections.abc import Callable

_MIN_WAIT_SECONDS = 0.0005
_WILL_FAIL = "to fail"  # the outcome of an attempt that runs and whose job is to be reported as failed


class _AssignedJob(NamedTuple):
    """A job that runs or is queued here, and the node that sent it."""

    attempt: AttemptRecord
    node: str


class Executor:
    """One executor: its process, which may be killed and restarted, and the model of its hardware.

    `planned_faults` are those of the next requests, one each: `full`, `error`, `reset`, `hang`, or empty.
    """

    def __init__(
        self,
        name: str,
        spec: ExecutorSpec,
        event_record: EventRecord,
        nursery: trio.Nursery,
        zone: str = "a",
    ) -> None:
        self.name = name
        self.spec = spec
        self.zone = zone
        self.model = ExecutorModel(spec, now_ms())
        self.planned_faults: list[str] = []
        self.is_failing = False  # whether every job fails at once
        self.is_alive = True
        self.started_unix_ms = 0.0  # 0: long ago
        self._event_record = event_record
        self._nursery = nursery
        self._servers: dict[str, HttpServer] = {}
        self._assigned_jobs: dict[str, _AssignedJob] = {}
        self._model_changed = trio.Event()
        self._resumed = trio.Event()
        self._resumed.set()
        self._callbacks = CallbackSender(nursery, self._wait_until_resumed)
        nursery.start_soon(self._run_model)

    async def listen_for_node(self, node: str, callback_address: tuple[str, int]) -> str:
        """Open an address for one node, which takes call-backs at `callback_address`, and return it."""
        self._callbacks.set_address(node, callback_address)

        async def serve(stream: HttpStream) -> None:
            await self._serve(node, stream)

        server = HttpServer(serve, self._nursery)
        self._servers[node] = server
        return await server.open()

    async def listen_for_all_nodes(
        self, address: tuple[str, int], identify_node: Callable[[str], tuple[str, tuple[str, int]]]
    ) -> None:
        """Open one address for all nodes.

        `identify_node` maps the source address of a connection to the node and its address for call-backs.
        """

        async def serve(stream: HttpStream) -> None:
            try:
                source = stream.socket_stream.socket.getpeername()[0]
            except OSError:
                return  # reset before it was looked at
            node, callback_address = identify_node(source)
            self._callbacks.set_address(node, callback_address)
            await self._serve(node, stream)

        server = HttpServer(serve, self._nursery)
        server.address = address
        self._servers[""] = server
        await server.open()

    # --- failures -------------------------------------------------------------------------------

    def kill(self) -> None:
        """Kill the process: its jobs are lost and no node is notified."""
        self.is_alive = False
        for server in self._servers.values():
            server.abort()
        for assigned in self._assigned_jobs.values():
            assigned.attempt.outcome = assigned.attempt.outcome or "died"
            assigned.attempt.ended_ms = now_ms()
        self._assigned_jobs.clear()
        self.model = ExecutorModel(self.spec, now_ms(), in_slow_start=True)

    async def restart(self) -> None:
        """Start a new process at the same addresses, in slow start."""
        self.model = ExecutorModel(self.spec, now_ms(), in_slow_start=True)
        self.started_unix_ms = unix_now_ms()
        self.is_alive = True
        for server in self._servers.values():
            await server.open()

    def set_stalled(self, is_stalled: bool) -> None:
        """Stop all work and all answers, with connections left open; or resume."""
        self.model.set_stalled(now_ms(), is_stalled)
        if is_stalled:
            self._resumed = trio.Event()
        else:
            self._resumed.set()
        self._model_changed.set()

    def set_slowdown(self, factor: float) -> None:
        """Run `factor` times slower."""
        self.model.set_slowdown(now_ms(), factor)
        self._model_changed.set()

    async def return_queued_jobs(self) -> None:
        """Return the jobs that have not started, as an executor that drains may."""
        for job in self.model.take_queued(now_ms()):
            self._end_job(job, "handed back", "returned")

    async def _wait_until_resumed(self) -> None:
        await self._resumed.wait()

    # --- requests of nodes ----------------------------------------------------------------------

    async def _serve(self, node: str, stream: HttpStream) -> None:
        while (message := await stream.read()) is not None:
            received_ms = now_ms()
            await self._resumed.wait()
            if message.method == "DELETE":
                self._cancel(message.path.rsplit("/", 1)[-1])
                await stream.write("HTTP/1.1 204 No Content")
            elif message.method == "GET":
                await stream.write("HTTP/1.1 200 OK")
            elif not await self._serve_job(node, stream, message, received_ms):
                return

    async def _serve_job(
        self, node: str, stream: HttpStream, message: HttpMessage, received_ms: float
    ) -> bool:
        """Answer the request for one job; false where the connection is not used any more."""
        request_id = message.headers.get("request-id", "")
        if request_id not in self._event_record.requests:
            violation = f"{self.name}: id {request_id!r} that no client sent"
            self._event_record.protocol_violations.append(violation)
            await stream.write("HTTP/1.1 400 Bad" if request_id else "HTTP/1.1 404 No id")
            return True
        parameters = json.loads(message.body)
        attempt = AttemptRecord(
            request_id, message.path.split("/")[1], self.name, received_ms, node=node,
            work_ms=parameters["work"], slots=int(parameters.get("slots", 1)),
        )  # fmt: skip
        self._event_record.attempts.append(attempt)
        if stream.has_peer_ended():
            # Found by an executor that stood still, when it goes on: a close before the 202 cancels the job.
            _note_cancelled(attempt)
            return False
        fault = self._take_fault()
        if fault in ("reset", "hang", "error"):
            return await _cause_fault(fault, attempt, stream)
        if fault == "full" or not self._admit(attempt, node, parameters):
            attempt.outcome = "full"
            attempt.ended_ms = now_ms()
            await stream.write("HTTP/1.1 503 Full", Not_Started="1")
            return True
        await stream.write("HTTP/1.1 202 Accepted")
        return True

    def _take_fault(self) -> str:
        if self.planned_faults:
            return self.planned_faults.pop(0)
        return "error" if self.is_failing else ""

    def _admit(self, attempt: AttemptRecord, node: str, parameters: dict[str, Any]) -> bool:
        if not self.model.admit(now_ms(), attempt.id, attempt.work_ms, attempt.slots):
            return False
        self._assigned_jobs[attempt.id] = _AssignedJob(attempt, node)
        self._model_changed.set()
        if parameters.get("fails"):
            attempt.outcome = _WILL_FAIL
        return True

    def _cancel(self, job: str) -> None:
        """Take note that a node cancels a job: what is queued is dropped, what runs goes on."""
        assigned = self._assigned_jobs.get(job)
        if assigned is None:
            return
        _note_cancelled(assigned.attempt)
        if self.model.drop_queued(now_ms(), job):
            del self._assigned_jobs[job]
            assigned.attempt.outcome = "given up"
            assigned.attempt.ended_ms = now_ms()

    # --- work and call-backs --------------------------------------------------------------------

    async def _run_model(self) -> None:
        while True:
            self._model_changed = trio.Event()
            for progress in self.model.step(now_ms()):
                self._on_progress(progress)
            wait_seconds = (self.model.next_due_ms() - now_ms()) / 1000.0
            with trio.move_on_after(max(_MIN_WAIT_SECONDS, wait_seconds)):
                await self._model_changed.wait()

    def _on_progress(self, progress: JobProgress) -> None:
        assigned = self._assigned_jobs.get(progress.job)
        if assigned is None:
            return
        if progress.state == "done":
            outcome = "failed" if assigned.attempt.outcome == _WILL_FAIL else "done"
            self._end_job(progress.job, outcome, outcome)
            return
        if progress.state == "started":
            assigned.attempt.started_ms = now_ms()
        event = {"id": progress.job, "from": self.name, "state": progress.state}
        self._callbacks.send(assigned.node, {**event, "share": progress.done_fraction})

    def _end_job(self, job: str, outcome: str, state: str) -> None:
        assigned = self._assigned_jobs.pop(job)
        assigned.attempt.outcome = outcome
        assigned.attempt.ended_ms = now_ms()
        event = {"id": job, "from": self.name, "state": state}
        if state == "done":
            event["result"] = f"{job}@{self.name}"
        self._callbacks.send(assigned.node, event)


def _note_cancelled(attempt: AttemptRecord) -> None:
    if attempt.cancelled_ms is UNSET:
        attempt.cancelled_ms = now_ms()


async def _cause_fault(fault: str, attempt: AttemptRecord, stream: HttpStream) -> bool:
    """Answer a request with a fault; false where the connection is not used any more."""
    if fault == "hang":
        while await stream.read() is not None:
            pass
        _note_cancelled(attempt)
        return False
    # Also before a reset: the job may have run, and a second attempt must count as a repetition.
    attempt.started_ms = now_ms()
    if fault == "reset":
        stream.reset()
        return False
    attempt.ended_ms = attempt.started_ms
    attempt.outcome = "error"
    await stream.write("HTTP/1.1 500 Failed")
    return True
