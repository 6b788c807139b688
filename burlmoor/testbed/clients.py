"""Stand-in clients of one node, with persistent connections that carry one request at a time."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.http_stream import HttpMessage, HttpStream, connect
from burlmoor.testbed.job_classes import KEYED_CLASS_NAME
from burlmoor.testbed.messages import JobParameters

if TYPE_CHECKING:
    from burlmoor.testbed.event_record import EventRecord, RequestRecord

_MAX_IDLE_SECONDS = 5.0  # clients that don't resend never reuse a connection that was idle for longer
_EXTRA_WAIT_SECONDS = 1.0  # time after the timeout in which a client still reads, to observe late answers


class _IdleConnection(NamedTuple):
    """A connection without a request, and the time at which it became idle."""

    stream: HttpStream
    since_ms: float


class _OutgoingRequest(NamedTuple):
    """The parts of a request that are written to a connection."""

    start_line: str
    headers: dict[str, str]
    body: bytes


class ClientPool:
    """The clients of one node, which share a pool of idle connections, the most recently used last.

    With `may_resend` a request is sent once more if its connection ends without an answer, because a node may
    close an idle connection just as a request arrives. The job may then run twice if its node was killed.
    """

    def __init__(
        self, address: tuple[str, int], event_record: EventRecord, *, may_resend: bool = True
    ) -> None:
        self.address = address
        self._event_record = event_record
        self._may_resend = may_resend
        self._idle: list[_IdleConnection] = []

    async def send(
        self,
        request: RequestRecord,
        *,
        slots: int = 1,
        key: str = "k",
        reports_failure: bool = False,
        tenant: str = "",
    ) -> RequestRecord:
        """Send one request, wait for its answer, and return its completed record.

        With `reports_failure` the job's executor reports it as failed.
        """
        self._event_record.requests[request.id] = request
        headers = _make_headers(request, slots, tenant)
        body = msgspec.json.encode(JobParameters(request.work_ms, slots, reports_failure))
        outgoing = _OutgoingRequest(f"POST /{request.job_class}/{key} HTTP/1.1", headers, body)
        timeout_at_ms = request.sent_ms + request.timeout_ms
        remaining_seconds = (timeout_at_ms - now_ms()) / 1000.0 + _EXTRA_WAIT_SECONDS
        if remaining_seconds <= 0.0:
            # This process was stalled for longer than the client waits for an answer.
            request.is_unsent = True
            return request
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            with trio.move_on_after(remaining_seconds):
                await self._send(request, outgoing)
        return request

    async def _send(self, request: RequestRecord, outgoing: _OutgoingRequest) -> None:
        idle = self._take_idle()
        request.was_reused = idle is not None
        stream = idle or await self._connect(request, was_sent_before=False)
        if await self._exchange(stream, request, outgoing) or not self._may_resend:
            return
        stream = await self._connect(request, was_sent_before=True)
        await self._exchange(stream, request, outgoing)

    def _take_idle(self) -> HttpStream | None:
        """Return the most recently used idle connection that is usable, or None."""
        while self._idle:
            stream, since_ms = self._idle.pop()
            is_recent = now_ms() - since_ms < _MAX_IDLE_SECONDS * 1000.0
            if self._may_resend or (is_recent and not stream.has_peer_closed()):
                return stream
            stream.close()
        return None

    async def _connect(self, request: RequestRecord, *, was_sent_before: bool) -> HttpStream:
        try:
            return await connect(self.address)
        except OSError:
            request.is_unsent = not was_sent_before
            raise

    async def _exchange(self, stream: HttpStream, request: RequestRecord, outgoing: _OutgoingRequest) -> bool:
        """Send a request on a connection and record the answer; return whether there is one.

        The connection then returns to the pool or is closed, also on cancellation.
        """
        is_reusable = False
        try:
            answer = await self._receive_answer(stream, request, outgoing)
            if answer is None:
                request.closed_ms = now_ms()
            else:
                _record_answer(request, answer)
                is_reusable = answer.headers.get("connection") != "close"
        finally:
            if is_reusable:
                self._idle.append(_IdleConnection(stream, now_ms()))
            else:
                stream.close()
        return answer is not None

    async def _receive_answer(
        self, stream: HttpStream, request: RequestRecord, outgoing: _OutgoingRequest
    ) -> HttpMessage | None:
        """Write the request and return the answer, or None if the connection ends first.

        Raises:
            trio.ClosedResourceError: it is time for the client to disconnect, and there is no answer yet.
        """
        try:
            await stream.write(outgoing.start_line, outgoing.body, **outgoing.headers)
            if request.disconnect_at_ms is None:
                return await stream.read()
            with trio.move_on_after(max(0.0, (request.disconnect_at_ms - now_ms()) / 1000.0)):
                return await stream.read()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        raise trio.ClosedResourceError

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.stream.close()
        self._idle.clear()


def _make_headers(request: RequestRecord, slots: int, tenant: str) -> dict[str, str]:
    """Return the headers of a request, with `_` in place of `-` in their names."""
    headers = {
        "Host": "svc",
        "Request_Id": request.id,
        "Request_Timeout_Ms": str(int(request.timeout_ms)),
        "Work_Hint": str(int(request.work_ms * 1000.0)),
        "Request_Info": f"slots={slots}",
    }
    if request.job_class == KEYED_CLASS_NAME:
        headers["Idempotency_Key"] = request.id
    if tenant:
        headers["Tenant"] = tenant
    if request.run_after:
        headers["Run_After"] = ", ".join(request.run_after)
    if request.not_before_unix_ms:
        headers["Not_Before"] = str(int(request.not_before_unix_ms))
    return headers


def _record_answer(request: RequestRecord, answer: HttpMessage) -> None:
    request.answered_ms = now_ms()
    request.status = answer.status
    request.body = answer.body
    request.answer_count += 1
    with suppress(ValueError):
        request.retry_after_ms = float(answer.headers.get("retry-after", "0")) * 1000.0
