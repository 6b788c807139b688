"""Tests that idle connections and nodes close safely while requests arrive; see `docs/races.md`."""

from __future__ import annotations

import errno
import json
import socket
from functools import partial
from typing import TYPE_CHECKING, Any

import pytest
import trio

from burlmoor.discovery.list_lease import FIRST_CONTACT_SECONDS
from burlmoor.downstream.connection import DownstreamConnection
from burlmoor.downstream.eviction import is_used_idle
from burlmoor.transport.stream import ReceiveResult, SocketStream
from burlmoor.types.reasons import CloseReason
from burlmoor.upstream.cancellation import AttemptCanceller
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import NodeHarness, open_node_harness

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.testbed.http_stream import HttpMessage, HttpStream

SIGKILL_MARGIN_SECONDS = 0.7
MAX_COUNTED_DEADLINE_SECONDS = 3.0
LATE_SECONDS = 0.7  # after SIGTERM; jobs submitted later must be answered before SIGKILL
LAST_RECONNECT_SECONDS = 0.4  # after SIGTERM; later, load balancers in front direct no client to the node


class AdmissionRecorder:
    """Records the ids of the requests that a node admits once this is created."""

    def __init__(self, harness: NodeHarness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.request_ids: list[str] = []
        self._admit = harness.components.engine.admit
        monkeypatch.setattr(harness.components.engine, "admit", self._record_and_admit)

    def _record_and_admit(self, *arguments: Any) -> Any:
        self.request_ids.append(arguments[1])
        return self._admit(*arguments)


async def open_idle_client(harness: NodeHarness) -> HttpStream:
    """Return a client's connection that is idle after its first job, `a1`, was served."""
    client = await harness.submit_job("once", "a1")
    await harness.wait_until(lambda: harness.jobs)
    await harness.send_callback("done", "fine")
    assert (await harness.read_response(client)).body == b"fine"
    return client


async def assert_served_again(harness: NodeHarness, client: HttpStream) -> None:
    """Check that a second job, `a2`, is served on the same connection."""
    await harness.send_job(client, "once", "a2")
    await harness.wait_until(lambda: len(harness.jobs) == 2)
    await harness.send_callback("done", "again")
    assert (await harness.read_response(client)).body == b"again"


def find_client_connection(harness: NodeHarness) -> DownstreamConnection:
    """Return the node's side of the only idle connection of a client."""
    connections = harness.components.server.connections
    connection, *others = [
        each for each in connections._connections if is_used_idle(each) and not each.is_finished
    ]
    assert not others
    assert isinstance(connection, DownstreamConnection)
    return connection


def before_next_read(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch, action: Callable[[], None]
) -> None:
    """Call `action` once, just before the task of the client's idle connection reads its readable socket."""
    receive_now = SocketStream.receive_now
    client_stream = find_client_connection(harness)._stream

    def act_and_receive(stream: SocketStream) -> ReceiveResult:
        if stream is client_stream:
            monkeypatch.setattr(SocketStream, "receive_now", receive_now)
            action()
        return receive_now(stream)

    monkeypatch.setattr(SocketStream, "receive_now", act_and_receive)


def close_all(harness: NodeHarness) -> None:
    """Close all connections to clients, whatever has arrived on them."""
    for connection in list(harness.components.server.connections._connections):
        connection.close(CloseReason.SHUTDOWN)


async def test_a_request_that_races_with_an_idle_close_is_neither_read_nor_admitted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against reading a request once the close is decided: its client gets an end, which means that the
    # request was read, in place of a reset, after which it sends it again.
    lines: list[str] = []
    async with open_node_harness(lines=lines) as harness:
        client = await open_idle_client(harness)
        admitted = AdmissionRecorder(harness, monkeypatch)
        before_next_read(harness, monkeypatch, partial(close_all, harness))
        await harness.send_job(client, "once", "a2")
        with pytest.raises(trio.BrokenResourceError):
            await client.socket_stream.receive_some()
        again = await harness.submit_job("once", "a2")  # as the protocol requires of clients
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        await harness.send_callback("done", "again")
        assert (await harness.read_response(again)).body == b"again"
        assert admitted.request_ids == ["a2"]
    (discarded,) = [json.loads(line) for line in lines if "unread-input-discarded" in line]
    assert discarded["reason"] == "shutdown"
    assert discarded["last-id"] == "a1"
    assert discarded["bytes"] > 0


async def test_a_request_that_has_arrived_unread_is_served_on_its_idle_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against closing an idle connection over a request that the kernel already has.
    async with open_node_harness() as harness:
        client = await open_idle_client(harness)
        admitted = AdmissionRecorder(harness, monkeypatch)
        before_next_read(harness, monkeypatch, harness.components.server.connections.close_idle)
        await assert_served_again(harness, client)
        assert admitted.request_ids == ["a2"]
        assert harness.components.core.counters.totals()["prevented-closes"] == {"shutdown": 1}


async def test_a_request_that_arrives_between_the_last_read_and_the_close_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against losing requests that arrive while the process is stalled right before it closes a socket.
    async with open_node_harness() as harness:
        client = await open_idle_client(harness)
        connections = harness.components.server.connections
        receive_now = SocketStream.receive_now

        def read_nothing_once(stream: SocketStream) -> ReceiveResult:
            monkeypatch.setattr(SocketStream, "receive_now", receive_now)
            return ReceiveResult.NOTHING

        def stall_while_closing() -> None:
            monkeypatch.setattr(SocketStream, "receive_now", read_nothing_once)
            connections.close_idle()

        before_next_read(harness, monkeypatch, stall_while_closing)
        await assert_served_again(harness, client)


class UnavailableChannel:
    """A handover channel that can't send anything now."""

    has_unsent_messages = False

    def send(self, message: object, sock: object = None) -> bool:
        return False


async def test_a_connection_that_cannot_be_passed_to_the_successor_is_served_here() -> None:
    # Guards against closing idle connections, whose clients may be writing, while the channel is full.
    async with open_node_harness() as harness:
        client = await open_idle_client(harness)
        role = harness.node.handover._predecessor_role
        role.attach_channel(UnavailableChannel())  # type: ignore[arg-type]
        harness.components.server.peers.attach_successor(role)
        harness.components.server.connections.pass_idle_to_successor()
        await assert_served_again(harness, client)


def settings_with_deadline(deadline_ms: float) -> dict[str, Any]:
    """Return the default test settings, with this deadline for all classes."""
    return {
        **SETTINGS_OBJECT,
        "RequestClasses": [
            {**job_class, "HardLimit": deadline_ms} for job_class in SETTINGS_OBJECT["RequestClasses"]
        ],
    }


class PersistentClient:
    """Submits jobs one after another to a node that shuts down, on one connection while it stays open."""

    def __init__(self, harness: NodeHarness, number: int, deadline_ms: float, began_at: float) -> None:
        self._harness = harness
        self._number = number
        self._timeout_ms = int(deadline_ms)
        self._began_at = began_at  # when the shutdown began
        self.late_answers: list[float] = []  # in seconds after SIGTERM, to jobs submitted late

    async def submit_until(self, end_seconds: float) -> None:
        """Submit jobs until `end_seconds` after SIGTERM, or until it is too late to reconnect."""
        connection = await self._harness.connect_client()
        for job_number in range(1000):
            submitted_at = self._seconds_since_sigterm()
            if submitted_at >= end_seconds:
                return
            answer = await self._submit(connection, f"c{self._number}-{job_number}")
            if answer is not None and submitted_at > LATE_SECONDS:
                self.late_answers.append(self._seconds_since_sigterm())
            if answer is None or answer.headers.get("connection") == "close":
                if self._seconds_since_sigterm() > LAST_RECONNECT_SECONDS:
                    return
                connection = await self._harness.connect_client()
            await trio.sleep(0.02)

    async def _submit(self, connection: HttpStream, request_id: str) -> HttpMessage | None:
        """Submit one job; return its answer, or None if the connection ended without one."""
        try:
            await self._harness.send_job(connection, "once", request_id, self._timeout_ms)
            return await connection.read()
        except trio.BrokenResourceError:
            return None

    def _seconds_since_sigterm(self) -> float:
        return trio.current_time() - self._began_at


@pytest.mark.parametrize("deadline_ms", [400.0, 1000.0, 2000.0, 5000.0])
async def test_jobs_admitted_late_in_a_shutdown_are_answered_before_sigkill(
    deadline_ms: float,
) -> None:
    # SIGKILL follows SIGTERM no earlier than the longest deadline (counted as 3 s at most) plus 0.7 s.
    killed_after_seconds = min(deadline_ms / 1000.0, MAX_COUNTED_DEADLINE_SECONDS) + SIGKILL_MARGIN_SECONDS
    async with open_node_harness(given_settings=settings_with_deadline(deadline_ms)) as harness:
        began_at = trio.current_time()
        clients = [PersistentClient(harness, number, deadline_ms, began_at) for number in range(6)]
        harness.nursery.start_soon(harness.node.shut_down)
        with trio.move_on_after(killed_after_seconds):
            async with trio.open_nursery() as nursery:
                for client in clients:
                    nursery.start_soon(client.submit_until, killed_after_seconds)
        # Clients may still be blocked here, but only on requests that the node has not admitted.
        assert not harness.components.core.jobs.count_open()
        assert not harness.components.server.connections.has_unsent_output
    assert all(at < killed_after_seconds for client in clients for at in client.late_answers)


@pytest.mark.parametrize("deadline_ms", [400.0, 1200.0])
async def test_a_request_that_is_never_completed_does_not_keep_a_node_from_exiting_before_sigkill(
    deadline_ms: float,
) -> None:
    # Guards against a SIGKILL while clients use the connections of a node that waits for nothing else.
    killed_after_seconds = deadline_ms / 1000.0 + SIGKILL_MARGIN_SECONDS
    async with open_node_harness(given_settings=settings_with_deadline(deadline_ms)) as harness:
        client = await harness.connect_client()
        began_at = trio.current_time()
        harness.nursery.start_soon(harness.node.shut_down)
        await trio.sleep(0.3)
        await client.socket_stream.send_all(b"POST /once/0f HTTP/1.1\r\nHost: svc\r\n")
        await harness.wait_until(lambda: harness.has_node_ended)
        assert trio.current_time() - began_at < killed_after_seconds


async def test_a_node_that_is_stopped_during_its_start_accepts_no_client() -> None:
    # Guards against listening during a shutdown: clients would be accepted by a process that is about to end.
    async with open_node_harness() as harness:
        harness.is_discovery_silent = True
        harness.nursery.start_soon(harness.node.shut_down)
        with trio.move_on_after(FIRST_CONTACT_SECONDS + 1.0):
            while not harness.has_node_ended:
                with socket.socket() as sock:
                    assert sock.connect_ex(harness.address) == errno.ECONNREFUSED
                await trio.sleep(0.05)
        assert harness.has_node_ended


async def test_an_unanswered_cancellation_does_not_keep_a_node_from_exiting_before_sigkill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a SIGKILL while clients use a node that only waits for an endpoint.
    deadline_ms = 400.0
    async with open_node_harness(given_settings=settings_with_deadline(deadline_ms)) as harness:
        monkeypatch.setattr(AttemptCanceller, "open_calls", 1)
        began_at = trio.current_time()
        harness.nursery.start_soon(harness.node.shut_down)
        await harness.wait_until(lambda: harness.has_node_ended)
        assert trio.current_time() - began_at < deadline_ms / 1000.0 + SIGKILL_MARGIN_SECONDS
