"""Stand-in clients of one node: connections that are kept, one request on each at a time, answers counted."""

from __future__ import annotations

import json
import os
import socket
from contextlib import suppress

import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import EventRecord, RequestRecord
from burlmoor.testbed.http_stream import HttpMessage, HttpStream, connect

_KEPT = 5.0  # seconds that a connection may lie idle and still be used by clients that do not send again
_SLACK = 1.0  # seconds beyond its own time for which a client still listens, so that lateness is seen


class ClientPool:
    """Owns the connections to one node, the freshest idle one last.

    `resends`: whether a job goes out once more where a kept connection ends without an answer. Where nodes
    are killed that may run it twice.
    """

    def __init__(self, address: tuple[str, int], ledger: EventRecord, may_resend: bool = True) -> None:
        self.address, self._ledger, self._resends = address, ledger, may_resend
        self._idle: list[tuple[HttpStream, float]] = []

    async def send(
        self, request: RequestRecord, slots: int = 1, key: str = "k", fails: bool = False, tenant: str = ""
    ) -> RequestRecord:
        """Submit one job and wait for its answer; the ledger's row, filled in."""
        self._ledger.requests[request.id] = request
        head: dict[str, str] = {
            "Host": "svc", "Request_Id": request.id, "Request_Timeout_Ms": str(int(request.timeout_ms)),
            "Work_Hint": str(int(request.work_ms * 1000.0)), "Request_Info": f"slots={slots}",
        }  # fmt: skip
        if tenant:
            head["Tenant"] = tenant
        if request.run_after:
            head["Run_After"] = ", ".join(request.run_after)
        if request.not_before_unix_ms:
            head["Not_Before"] = str(int(request.not_before_unix_ms))
        body = json.dumps({"work": request.work_ms, "slots": slots, "fails": fails}).encode()
        until = request.sent_ms + request.timeout_ms
        wire: HttpStream | None = None
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            try:
                with trio.move_on_after((until - now_ms()) / 1000.0 + _SLACK):
                    answer = None
                    for fresh in (False, True):
                        wire = self._kept() if not fresh else None
                        wire = wire or await self._connect(request, fresh)
                        answer = await self._exchange(wire, request, key, head, body)
                        if answer is not None or fresh or not self._resends:
                            break
                        # A node may close a kept connection just as a request crosses: sent once more.
                        wire.socket_stream.socket.close()
                    if answer is not None:
                        self._note(request, answer)
                        if answer.headers.get("connection") != "close":
                            self._idle.append((wire, now_ms()))  # type: ignore[arg-type]
                            wire = None
            finally:
                if wire is not None:
                    wire.socket_stream.socket.close()
        return request

    def _kept(self) -> HttpStream | None:
        """The freshest connection that lies idle."""
        if not self._idle:
            return None
        wire, since = self._idle.pop()
        if self._resends or (now_ms() - since < _KEPT * 1000.0 and not _ended(wire)):
            return wire
        wire.socket_stream.socket.close()
        return self._kept()

    async def _connect(self, asked: RequestRecord, written: bool) -> HttpStream:
        try:
            return await connect(self.address)
        except OSError:
            asked.is_unsent = not written
            raise

    async def _exchange(
        self, wire: HttpStream, asked: RequestRecord, key: str, head: dict[str, str], body: bytes
    ) -> HttpMessage | None:
        try:
            await wire.write(f"POST /{asked.job_class}/{key} HTTP/1.1", body, **head)
            if asked.disconnected_ms is None:
                return await wire.read()
            with trio.move_on_after(max(0.0, (asked.disconnected_ms - now_ms()) / 1000.0)):
                return await wire.read()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        raise trio.ClosedResourceError  # this client goes away

    def _note(self, asked: RequestRecord, answer: HttpMessage) -> None:
        asked.answered_ms, asked.status, asked.body = now_ms(), answer.status, answer.body
        asked.answer_count += 1
        with suppress(ValueError):
            asked.retry_after_ms = float(answer.headers.get("retry-after", "0")) * 1000.0

    def close(self) -> None:
        """End what lies idle."""
        for wire, _ in self._idle:
            wire.socket_stream.socket.close()
        self._idle.clear()


def _ended(wire: HttpStream) -> bool:
    """Whether the other side has closed a connection that lies idle."""
    with socket.socket(fileno=os.dup(wire.socket_stream.socket.fileno())) as sock:
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
