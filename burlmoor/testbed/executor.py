"""A stand-in executor: its addresses, its responses to nodes, and its simulated failures."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from burlmoor.testbed.clock import now_ms, unix_now_ms
from burlmoor.testbed.event_record import AttemptOutcome, AttemptRecord, EventRecord
from burlmoor.testbed.executor_jobs import JobRunner, record_cancellation
from burlmoor.testbed.http_server import HttpServer
from burlmoor.testbed.messages import JobParameters

if TYPE_CHECKING:
    from collections.abc import Callable

    import trio

    from burlmoor.testbed.executor_model import ExecutorSpec
    from burlmoor.testbed.http_stream import HttpMessage, HttpStream


class PlannedFault(StrEnum):
    """What an executor does with a request instead of running its job."""

    FULL = "full"  # it rejects the job: not started
    ERROR = "error"  # it answers with status 500
    RESET = "reset"  # it resets the connection
    HANG = "hang"  # it leaves the request unanswered


class CallingNode(NamedTuple):
    """The node that opened a connection, and the address to which its call-backs are sent."""

    name: str
    callback_address: tuple[str, int]


class Executor:
    """One executor, whose process may be killed and restarted.

    Each of the next requests takes one fault from `planned_faults`. `jobs` runs the admitted jobs, and may be
    slowed down or stalled.
    """

    def __init__(
        self, name: str, spec: ExecutorSpec, event_record: EventRecord, nursery: trio.Nursery
    ) -> None:
        self.name = name
        self.jobs = JobRunner(name, spec, nursery)
        self.planned_faults: list[PlannedFault] = []
        self.answers_with_error = False  # whether every job request is answered with status 500
        self.is_alive = True
        self.started_unix_ms = 0.0  # 0: long ago
        self._event_record = event_record
        self._nursery = nursery
        self._servers: list[HttpServer] = []

    async def listen_for_node(self, node: str, callback_address: tuple[str, int]) -> str:
        """Listen at a new address for one node, which takes call-backs at `callback_address`; return it."""
        self.jobs.set_callback_address(node, callback_address)

        async def serve(stream: HttpStream) -> None:
            await self._serve(node, stream)

        return await self._listen(HttpServer(serve, self._nursery))

    async def listen_for_all_nodes(
        self, address: tuple[str, int], identify_node: Callable[[str], CallingNode]
    ) -> None:
        """Listen at one address for all nodes; `identify_node` maps a source address to its node."""

        async def serve(stream: HttpStream) -> None:
            try:
                source = stream.socket_stream.socket.getpeername()[0]
            except OSError:
                return  # the connection was reset meanwhile
            node = identify_node(source)
            self.jobs.set_callback_address(node.name, node.callback_address)
            await self._serve(node.name, stream)

        await self._listen(HttpServer(serve, self._nursery, address))

    async def _listen(self, server: HttpServer) -> str:
        self._servers.append(server)
        return await server.open()

    def kill(self) -> None:
        """Kill the process: its jobs are lost, and nodes get no call-backs for them."""
        self.is_alive = False
        for server in self._servers:
            server.abort()
        self.jobs.lose_all()

    async def restart(self) -> None:
        """Start a new process, in slow start, at the same addresses."""
        self.jobs.reset_model()
        self.started_unix_ms = unix_now_ms()
        self.is_alive = True
        for server in self._servers:
            await server.open()

    def _next_fault(self) -> PlannedFault | None:
        if self.planned_faults:
            return self.planned_faults.pop(0)
        return PlannedFault.ERROR if self.answers_with_error else None

    async def _serve(self, node: str, stream: HttpStream) -> None:
        while (request := await stream.read()) is not None:
            received_ms = now_ms()
            await self.jobs.wait_until_resumed()
            if request.method == "DELETE":
                self.jobs.cancel(request.path.rsplit("/", 1)[-1])
                await stream.write_response(HTTPStatus.NO_CONTENT)
            elif request.method == "GET":
                await stream.write_response(HTTPStatus.OK)
            elif not await self._serve_job(node, stream, request, received_ms):
                return

    async def _serve_job(
        self, node: str, stream: HttpStream, request: HttpMessage, received_ms: float
    ) -> bool:
        """Answer the request for one job; return whether the connection remains usable."""
        request_id = request.headers.get("request-id", "")
        if request_id not in self._event_record.requests:
            violation = f"{self.name}: id {request_id!r} that no client sent"
            self._event_record.protocol_violations.append(violation)
            await stream.write_response(HTTPStatus.BAD_REQUEST if request_id else HTTPStatus.NOT_FOUND)
            return True
        parameters = msgspec.json.decode(request.body, type=JobParameters)
        attempt = AttemptRecord(
            request_id, request.path.split("/")[1], self.name, received_ms, node=node,
            work_ms=parameters.work_ms, slots=parameters.slots,
        )  # fmt: skip
        self._event_record.attempts.append(attempt)
        if stream.has_peer_closed():
            # Closed while the executor was stalled: a close before the 202 cancels the job.
            record_cancellation(attempt)
            return False
        fault = self._next_fault()
        if fault is None and self.jobs.admit(attempt, node, reports_failure=parameters.reports_failure):
            await stream.write_response(HTTPStatus.ACCEPTED)
            return True
        if fault is None or fault is PlannedFault.FULL:
            attempt.outcome = AttemptOutcome.REJECTED
            attempt.ended_ms = now_ms()
            await stream.write_response(HTTPStatus.SERVICE_UNAVAILABLE, Not_Started="1")
            return True
        return await _inject_fault(fault, attempt, stream)


async def _inject_fault(fault: PlannedFault, attempt: AttemptRecord, stream: HttpStream) -> bool:
    """Handle a request with a fault; return whether the connection remains usable."""
    if fault is PlannedFault.HANG:
        while await stream.read() is not None:
            pass
        record_cancellation(attempt)
        return False
    # After a reset the job may have run too, so that a second attempt must count as a repetition.
    attempt.started_ms = now_ms()
    if fault is PlannedFault.RESET:
        stream.reset()
        return False
    attempt.ended_ms = attempt.started_ms
    attempt.outcome = AttemptOutcome.ERROR
    await stream.write_response(HTTPStatus.INTERNAL_SERVER_ERROR)
    return True
