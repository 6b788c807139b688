"""Accepts connections and drives the listener's state machine on each."""

from __future__ import annotations

import math
import socket
from collections.abc import Awaitable, Callable, Sequence

import trio

from burlmoor.downstream import callbacks
from burlmoor.downstream.drain import DrainController, ServiceState
from burlmoor.downstream.http import (
    HttpServerConnection,
    InvalidRequest,
    JobCallback,
    JobSubmission,
    ReadConditions,
    ReadinessCheck,
)
from burlmoor.engine.answers import DependencyFailed, Failed, FinalAnswer, Rejected, Served
from burlmoor.engine.deferral import RunConditions
from burlmoor.engine.engine import Engine
from burlmoor.engine.job import Job
from burlmoor.log import EventLogger
from burlmoor.transport.stream import SocketStream, accept
from burlmoor.types.settings import Idempotency

_RING_IN, _RING_OUT = 16 * 1024, 128 * 1024
# Seconds that a request may take to come in, the first one counted from the accept. True clients take up to
# 2 s to write; whoever never ends is owed a close within 3 s, and the sweep comes five times a second.
_REQUEST_LIMIT = 2.6
_DRAIN = 5.0  # seconds that a client may take to read an answer
_IDLE_LIMIT = 120.0  # seconds that a connection may lie idle once it has been used
_LINGER, _LINGER_BYTES = 1.0, 8 << 20  # how long and how much a rejected client may still write
_LINGER_BODY, _BODY_BYTES = 5.0, 64 << 20  # the same for an announced body, counted from the accept
# Seconds after which a connection may be closed to make room for others.
_SPARE_SILENT, _SPARE_BEGUN, _SPARE_IDLE = 0.1, 0.5, 0.25
_SWEEP = 0.2
_KEPT = 0.4  # of the connections: as many may wait or lie idle after use, then the longest idle ones end
_KEPT_FOR_CALLBACKS = 8  # one in so many of the connections
_BACK_IN = "0.5"  # seconds after which a client that found no room may come again


class DownstreamConnection:
    """Owns one accepted connection: its stream, its HTTP state and the job that waits on it."""

    def __init__(
        self, front: DownstreamServer, sock: socket.socket, used: bool = False, age: float = 0.0
    ) -> None:
        self._front = front
        self._stream = SocketStream(sock, _RING_IN, _RING_OUT)
        self._http = HttpServerConnection(front.classes, front.read_conditions, front.keyed)
        self._job: Job | None = None
        self._scope = trio.CancelScope()
        self._advancing = False
        self.used = used  # whether a whole request has come
        self._accepted = trio.current_time() - age
        self.since = trio.current_time() if used else self._accepted  # also a request's begin, or an answer
        self._heard = self.since  # when its peer last sent something

    @property
    def idle(self) -> bool:
        """Whether it lies between requests."""
        return self._http.idle and not self._stream.inbound and not self._stream.outbound

    @property
    def limit(self) -> float:
        """How many seconds it may go on as it is."""
        if self.waiting or self._finished:  # a job has its deadline, and what is finished ends by itself
            return math.inf
        if self.unsent:
            return _DRAIN
        return _IDLE_LIMIT if self.used and self.idle else _REQUEST_LIMIT

    def spare(self, now: float) -> tuple[int, float] | None:
        """Where it stands among those that go first where connections run out; None while it keeps its place.

        A usual client writes its first request at once: who has not in a moment is most likely none. One that
        has begun and goes on, however slowly, is a client; one that has begun and stopped is hardly any.
        """
        if self.waiting or self.unsent:
            return None
        if self._finished or (self.idle and not self.used):
            order, since, after = 0, self.since, _SPARE_SILENT
        elif self.idle:
            order, since, after = 1, self.since, _SPARE_IDLE
        else:
            order, since, after = 2, self._heard, _SPARE_BEGUN
        return (order, since) if now > since + after else None

    @property
    def unsent(self) -> bool:
        """Whether part of an answer still waits to be written."""
        return bool(self._stream.outbound)

    @property
    def begun(self) -> bool:
        """Whether part of a request has come."""
        return not (self.waiting or self.idle or self._finished)

    @property
    def waiting(self) -> bool:
        """Whether a client waits here for an answer."""
        return self._http.busy

    def end(self) -> None:
        """Close the connection soon."""
        self._scope.cancel()
        if self._finished and not self.unsent:
            self._stream.close()

    def drop(self) -> None:
        """Close the connection now; a client that waits on it has no answer to come."""
        self._stream.close()
        if self._job is not None:
            self._front.waiting_clients -= 1
            self._front.engine.on_client_disconnected(self._job)

    def first_look(self) -> bool:
        """Take in what has come with the connection; True if that was all it was for.

        Most connections are call-backs of one request each: those need no task of their own.
        """
        try:
            if self._stream.receive_now():
                self.advance()
        except (OSError, BufferError):
            self._http.closing = True
        if not self._finished or self._stream.outbound or self._http.unread:
            return False
        self._stream.close()
        return True

    @property
    def _finished(self) -> bool:
        """Whether nothing more is to be read or answered here."""
        return self._http.closing and not self._http.busy

    async def run(self) -> None:
        """Read until the connection ends."""
        try:
            with self._scope:
                await self._read()
            if self._finished:
                with trio.move_on_after(_DRAIN):
                    await self._stream.drain()
                if self._http.unread:
                    await self._linger()
        except (OSError, BufferError):
            pass  # the peer is gone
        except Exception as error:
            # Guards against one connection's fault ending the node.
            self._front.log("connection-failed", error=repr(error))
        finally:
            self.drop()

    async def _read(self) -> None:
        while not self._finished:
            if not self._stream.inbound.free_space:
                # Guards against jobs run for clients that have left: a close comes behind what was written.
                # Who writes on like this before its answer does not ask one thing at a time, so the rest is
                # not looked at, and the answer, which ends this, closes the connection.
                self._http.closing = True
                return await self._stream.skip(_LINGER_BYTES)
            if not await self._stream.receive():
                return
            self.advance()

    async def _linger(self) -> None:
        """Let the answer reach a client that still writes: closing at once would reset the connection.

        A body that was announced is read away whole, since its client may read only once it has written.
        """
        self._stream.end_sending()
        until, most = trio.current_time() + _LINGER, _LINGER_BYTES
        if self._http.refused_body:
            until, most = self._accepted + _LINGER_BODY, _BODY_BYTES
        with trio.move_on_at(until):
            await self._stream.skip(most)

    def advance(self) -> None:
        """Take in what was read, as far as requests may be taken."""
        # Guards against a job taken from a connection that is being closed: nobody would hear its answer.
        if self._advancing or self._scope.cancel_called:
            return
        self._advancing = True
        self._heard = trio.current_time()
        try:
            while not self._http.busy and not self._http.closing:
                if self.used and self._http.idle:
                    self.since = trio.current_time()
                asked = self._http.receive(self._stream.inbound.take())
                if asked is None:
                    if interim := self._http.continue_wanted():
                        self._send(interim)
                    break
                self._take(asked)
        finally:
            self._advancing = False
        self.hand_over()

    def hand_over(self) -> None:
        """Give the connection to the process that has taken over, if it lies between requests."""
        give = self._front.pass_connection
        if give is None or not self.idle or self._finished:
            return
        sock = self._stream.detach()
        if sock is not None:
            self._front.connections.discard(self)
            give(sock, self.used, trio.current_time() - self._accepted)

    def _take(self, asked: JobSubmission | JobCallback | ReadinessCheck | InvalidRequest) -> None:
        self.used = True
        match asked:
            case JobSubmission():
                if not self._front.has_capacity():
                    # Its place is what is short: it goes to those that come behind, call-backs among them.
                    self._http.closing = True
                    self._write_response(503, b"", [("Retry-After", _BACK_IN)])
                    return
                core = self._front.engine
                self._job = core.admit(self, asked.request_id, asked.request, asked.payload, asked.conditions)
                if self._job is None:
                    self._http.closing = True
                    self._write_response(400, b"Request-Id is in use\n")
                else:
                    self._front.waiting_clients += 1
                    if self._front.on_job_opened is not None:
                        self._front.on_job_opened(asked.request_id)
            case JobCallback():
                found = callbacks.handle_callback(self._front.engine, asked.body)
                if found is callbacks.CallbackResult.UNKNOWN and self._front.forward_callback is not None:
                    self._front.nursery.start_soon(self._call_back_elsewhere, asked.body)
                    return
                self._http.closing = self._http.closing or found is callbacks.CallbackResult.INVALID
                bad = found is callbacks.CallbackResult.INVALID
                self._write_response(*((400, b"not a job event\n") if bad else (204, b"")))
            case ReadinessCheck():
                # Guards against a crowd that asks once and stays: a check needs no connection that lasts.
                self._http.closing = True
                ready = self._front.is_ready
                self._write_response(*((200, b"ready\n") if ready else (503, b"taking no clients\n")))
            case InvalidRequest():
                self._front.log("request-rejected", status=asked.status, reason=asked.reason)
                self._write_response(asked.status, asked.reason.encode() + b"\n")

    async def _call_back_elsewhere(self, body: bytes) -> None:
        """Answer a call-back once the process that knows its job has taken it.

        Guards against the loss of a result: the executor does not repeat what was answered.
        """
        elsewhere = self._front.forward_callback
        try:
            taken = elsewhere is not None and await elsewhere(body)
            self._http.closing = self._http.closing or not taken
            self._write_response(204 if taken else 503, b"")
            self.advance()
        except Exception as error:
            # Guards against one call's fault ending the node.
            self._front.log("connection-failed", error=repr(error))
            self.end()

    def respond(self, answer: FinalAnswer) -> None:
        """The job's one final answer."""
        self._job = None
        self._front.waiting_clients -= 1
        match answer:
            case Served(result):
                self._write_response(200, result)
            case Rejected(retry_after):
                advice = [("Retry-After", f"{retry_after / 1000.0:.3f}")] if retry_after > 0.0 else []
                self._write_response(503, b"", advice)
            case Failed():
                self._write_response(502, b"the job failed and may have run\n")
            case DependencyFailed(reason):
                self._write_response(424, reason.encode() + b"\n")
        self.advance()

    def _write_response(self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None) -> None:
        if self._front.drain.state >= ServiceState.CLOSING:
            self._http.closing = True
        self.since = trio.current_time()
        self._send(self._http.answer(status, body, headers or ()))
        if self._http.closing:
            self._scope.cancel()

    def _send(self, data: bytes) -> None:
        try:
            self._stream.send(data)
        except (OSError, BufferError):
            # The client has left, or does not read; its answer is given all the same.
            self._http.closing = True
            self._scope.cancel()
            return
        if self._stream.outbound:
            self._front.nursery.start_soon(self._drain)

    async def _drain(self) -> None:
        try:
            await self._stream.drain()
        except OSError:
            self._scope.cancel()
        except Exception as error:
            # Guards against one connection's fault ending the node.
            self._front.log("connection-failed", error=repr(error))
            self._scope.cancel()


class DownstreamServer:
    """Owns the listening socket and every accepted connection, at most `size` of them."""

    def __init__(
        self,
        engine: Engine,
        classes: list[str],
        sock: socket.socket,
        size: int,
        drain: DrainController,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        self.engine, self.classes, self.nursery, self.log = engine, classes, nursery, log
        self.keyed = [
            each.name
            for each in engine.settings.classes
            if each.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        ]
        self.max_connections, self.drain = size, drain
        self.connections: set[DownstreamConnection] = set()
        # Set while another process of this node shares its work: where a connection that lies between
        # requests goes, who is told of a job that was taken, and who may know an unknown call-back's job.
        self.pass_connection: Callable[[socket.socket, bool, float], None] | None = None
        self.on_job_opened: Callable[[str], None] | None = None
        self.forward_callback: Callable[[bytes], Awaitable[bool]] | None = None
        self.parse_conditions: ReadConditions | None = None  # set while jobs may wait
        self.on_draining: Callable[[bool], None] | None = None  # told whether clients are sent away
        self._ended = trio.Event()
        self.waiting_clients = 0  # clients that wait for an answer
        self._sock = sock

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return str(host), int(port)

    async def run(self) -> None:
        """Accept until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            if len(self.connections) >= self.max_connections and not self._spare():
                # Guards the limit on sockets: the rest waits in the backlog until a connection ends.
                self._ended = trio.Event()
                with trio.move_on_after(0.05):
                    await self._ended.wait()
                continue
            sock = await accept(self._sock, self._ran_out)
            if sock is not None:
                self.adopt(sock)

    def _ran_out(self, error: OSError) -> None:
        self.log("descriptors-exhausted", error=str(error))
        self._spare()

    def adopt(self, sock: socket.socket, used: bool = False, age: float = 0.0) -> None:
        """Serve a connection that was accepted here, or by the process before this one."""
        try:
            link = DownstreamConnection(self, sock, used, age)
        except OSError:
            sock.close()
            return
        try:
            if link.first_look():
                return
        except Exception as error:
            # Guards against one connection's fault ending the task that accepts all others.
            self.log("connection-failed", error=repr(error))
            link.drop()
            return
        self.connections.add(link)
        self.nursery.start_soon(self._run, link)

    async def _run(self, link: DownstreamConnection) -> None:
        try:
            await link.run()
        finally:
            self.connections.discard(link)
            self._ended.set()

    def read_conditions(
        self, headers: Sequence[tuple[bytes, bytes]], request_id: str, size: int
    ) -> RunConditions | None:
        """What a request's headers ask its job to wait for; nothing where jobs may not wait."""
        return None if self.parse_conditions is None else self.parse_conditions(headers, request_id, size)

    def has_capacity(self) -> bool:
        """Whether one more job may be taken.

        Guards against clients that wait taking every connection: without room for the call-backs that
        answer them, all would wait until their deadlines.
        """
        taking = self.drain.state < ServiceState.REJECTING
        return taking and self.waiting_clients < self.max_connections - max(
            4, self.max_connections // _KEPT_FOR_CALLBACKS
        )

    def _spare(self) -> bool:
        """End a connection to make room: silent ones go first, then idle, then stalled, the longest so."""
        now = trio.current_time()
        standing = [(spare, link) for link in self.connections if (spare := link.spare(now)) is not None]
        if not standing:
            return False
        longest = min(standing, key=lambda each: each[0])[1]
        longest.end()
        self.connections.discard(longest)
        return True

    @property
    def has_unsent(self) -> bool:
        """Whether part of an answer still waits to be written on some connection."""
        return any(link.unsent for link in self.connections)

    async def sweep(self) -> None:
        """End what says nothing, or does not go on with what it began, in time for its peer to notice."""
        while True:
            await trio.sleep(_SWEEP)
            now = trio.current_time()
            closing = self.drain.state >= ServiceState.CLOSING
            if self.on_draining is not None:
                self.on_draining(closing)
            if closing:
                self.close_idle()
            for link in [link for link in self.connections if now > link.since + link.limit]:
                link.end()
            # Guards against clients that open a connection for each request and leave the last one lying: the
            # places that they may hold here run out, and their next requests with them.
            idle = sorted(
                (link for link in self.connections if link.used and link.idle), key=lambda link: link.since
            )
            for link in idle[: max(0, len(idle) + self.waiting_clients - int(self.max_connections * _KEPT))]:
                if now > link.since + _SPARE_IDLE:
                    link.end()

    @property
    def has_partial_requests(self) -> bool:
        """Whether part of a request has come on some connection."""
        return any(link.begun for link in self.connections)

    @property
    def is_ready(self) -> bool:
        """What those who send clients are told.

        Guards against a no while another process of this node takes them: it would be left for seconds.
        """
        if self.pass_connection is not None:
            return not self.drain.is_drained
        return self.drain.state is ServiceState.ACCEPTING

    def hand_over_idle(self) -> None:
        """Give every connection that lies between requests to the process that has taken over."""
        for link in list(self.connections):
            link.hand_over()

    def close_idle(self) -> None:
        """End every connection that lies idle after use.

        Guards against the loss of a call-back whose connection has come, but not yet its first byte.
        """
        for link in [link for link in self.connections if link.used and link.idle]:
            link.end()

    def close(self) -> None:
        """Stop listening."""
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()
