"""Stories of what ends while something may still be owed: docs/endings.md has a row for each.

Peers are scripted on loopback; each story makes the bad order by events.
"""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import pytest
import trio

from burlmoor.transport.sockets import connect
from burlmoor.transport.stream import SocketStream
from burlmoor.upstream.connection import PooledConnection
from burlmoor.upstream.pool import REUSE_DELAY_SECONDS
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import NodeHarness, run_scenario

NO_CANCEL = {**SETTINGS_OBJECT, "Limits": {**SETTINGS_OBJECT["Limits"], "Cancel": False}}


class Held:
    """Holds back each connection to an executor until the story lets it come up."""

    def __init__(self, harness: NodeHarness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.waiting, self.go = 0, trio.Event()
        take = harness.node.pool.acquire

        async def slow(dial: str) -> PooledConnection:
            link = await take(dial)
            self.waiting += 1
            harness.notify()
            await self.go.wait()
            return link

        monkeypatch.setattr(harness.node.pool, "acquire", slow)


# --- the client leaves --------------------------------------------------------------------------


@pytest.mark.parametrize("given_settings", [SETTINGS_OBJECT, NO_CANCEL])
@pytest.mark.parametrize("how", ["closes", "resets"])
def test_a_client_that_leaves_while_a_connection_comes_up_has_nothing_sent(
    how: str, given_settings: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story(harness: NodeHarness) -> None:
        held = Held(harness, monkeypatch)
        wire = await harness.submit_job()
        await harness.wait_until(lambda: held.waiting)
        if how == "closes":
            await wire.socket_stream.aclose()
        else:  # as a dying process does
            wire.reset()
        await harness.wait_until(lambda: not harness.node.engine.open_job_count)
        held.go.set()
        await harness.wait_until(lambda: not harness.node.attempts.in_flight)
        assert not harness.jobs
        await harness.wait_until(
            lambda: not harness.node.engine.open_job_ids()
        )  # nothing is kept of it either

    run_scenario(story, given_settings=given_settings)


@pytest.mark.parametrize("after", [20_000, 300_000, 3_000_000])
def test_a_client_that_sends_much_and_leaves_has_left(after: int) -> None:
    # Its close comes behind more than the node keeps of what is written to it.
    async def story(harness: NodeHarness) -> None:
        wire = await harness.submit_job(ms=9000)
        await harness.wait_until(lambda: harness.jobs)
        began = trio.current_time()
        await wire.socket_stream.send_all(b"x" * after)
        await wire.socket_stream.aclose()
        await harness.wait_until(lambda: not harness.node.engine.open_job_count)
        assert trio.current_time() - began < 2.0
        await harness.wait_until(lambda: harness.unanswered_connection_count)  # and the executor hears of it

    run_scenario(story, "hang")


def test_a_client_that_writes_on_without_end_is_answered_and_closed_on() -> None:
    async def story(harness: NodeHarness) -> None:
        wire = await harness.submit_job(ms=5000)
        await harness.wait_until(lambda: harness.jobs)
        await harness.send_callback("started")  # else it is moved away after a while
        flood = 0

        async def write() -> None:
            nonlocal flood
            try:
                for _ in range(200):
                    await wire.socket_stream.send_all(b"x" * 100_000)
                    flood += 1
                    harness.notify()
            except trio.BrokenResourceError:
                return

        harness.nursery.start_soon(write)
        await harness.wait_until(lambda: flood > 100)
        other = await harness.submit_job(ref="b1")  # nobody else waits for it
        for ref, each in (("b1", other), ("a1", wire)):
            await harness.wait_until(lambda ref=ref: numbers(harness, ref))  # type: ignore[misc]
            await harness.send_callback("done", "fine", job=numbers(harness, ref)[-1])
            answer = await harness.read_response(each)
            assert (answer.status, answer.body) == (200, b"fine")
        assert answer.headers["connection"] == "close"

    run_scenario(story)


# --- executors --------------------------------------------------------------------------------


def test_a_second_answer_some_milliseconds_late_is_not_taken_for_the_next_jobs() -> None:
    # It says that the job never ran: a job that must not run twice would go out again.
    async def story(harness: NodeHarness) -> None:
        harness.node.pool._reuse_delay_seconds = 10.0  # as if no time passed
        await harness.publish(2, False, e1="leaving")
        await harness.wait_until(lambda: harness.node.directory.find_live("e1") is None)
        for number, ref in enumerate(("a1", "a2")):
            harness.open_clients.append(await harness.submit_job("once", ref))
            await harness.wait_until(lambda jobs=number + 1: len(harness.jobs) == jobs)  # type: ignore[misc]
            await harness.wait_until(lambda: not harness.node.attempts.in_flight)
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(harness.open_clients[-1])).body == b"fine"
        assert numbers(harness, "a2") == [1]

    run_scenario(story, "stray")


def test_a_connection_at_rest_that_has_been_answered_twice_is_not_used_again() -> None:
    async def story(harness: NodeHarness) -> None:
        pool, dial = harness.node.pool, harness.addresses["e0"]
        link = await pool.acquire(dial)
        pool.return_connection(link)
        assert await pool.acquire(dial) is not link
        await harness.wait_until(lambda: trio.current_time() > link.idle_since + REUSE_DELAY_SECONDS)
        await harness.executor_connections[0].write("HTTP/1.1 202 Accepted")
        await harness.wait_until(lambda: not link.is_reusable())
        assert await pool.acquire(dial) is not link

    run_scenario(story)


HALF = "HTTP/1.1 202 Acc"
SPOILT = [
    "HTTP/1.1 2x2 Accepted\r\nContent-Length: 0\r\n\r\n",
    "\x00\x01\x02\r\n\r\n",
    "HTTP/1.1 202 Accepted\r\nContent-Length: -4\r\n\r\n",
    "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    HALF + "|end",
    "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nfour|end",
    "|end",
    "HTTP/1.1 202 Accepted\r\nX: " + 300_000 * "x",
    "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" + 300_000 * "x",
]


@pytest.mark.parametrize("said", SPOILT, ids=range(len(SPOILT)))
@pytest.mark.parametrize(
    ("name", "status", "forwards"), [("once", 502, 1), ("lookup", 200, 2), ("keyed", 200, 2)]
)
def test_an_answer_that_cannot_be_meant_ends_its_forward_as_perhaps_run(
    name: str, status: int, forwards: int, said: str
) -> None:
    async def story(harness: NodeHarness) -> None:
        wire = await harness.submit_job(name)
        await harness.wait_until(lambda: len(harness.jobs) == forwards)
        if forwards == 2:
            await harness.send_callback("done", "second")
        answer = await harness.read_response(wire)
        assert (answer.status, answer.body == b"second") == (status, forwards == 2)
        assert len(harness.jobs) == forwards
        assert not harness.node.attempts.in_flight

    run_scenario(story, f"bytes:{said}")


@pytest.mark.parametrize(("name", "forwards"), [("lookup", 2), ("keyed", 2), ("once", 1)])
@pytest.mark.parametrize("said", [HALF, ""])
def test_an_answer_that_never_ends_holds_only_what_must_not_run_twice(
    name: str, forwards: int, said: str
) -> None:
    async def story(harness: NodeHarness) -> None:
        wire = await harness.submit_job(name, ms=1500)
        await harness.wait_until(lambda: len(harness.jobs) == forwards)
        if forwards == 2:
            await harness.send_callback("done", "second")
        answer = await harness.read_response(wire)
        assert (answer.status, len(harness.jobs)) == ((200, 2) if forwards == 2 else (502, 1))
        await harness.wait_until(lambda: harness.unanswered_connection_count)  # the connection is not kept

    run_scenario(story, f"bytes:{said}|")


@pytest.mark.parametrize("name", ["lookup", "keyed", "once"])
def test_a_result_of_a_forward_that_was_given_up_is_taken_and_changes_nothing(name: str) -> None:
    async def story(harness: NodeHarness) -> None:
        wire = await harness.submit_job(name, ms=400)
        await harness.wait_until(lambda: harness.jobs)
        answer = await harness.read_response(wire)  # its time is over: the forward is given up
        assert answer.status in (502, 503)
        await harness.wait_until(lambda: harness.cancelled_attempts)
        assert await harness.send_callback("done", "late", job=0) == 204
        assert await harness.send_callback("done", "late", job=0) == 204  # executors repeat what they tell
        other = await harness.submit_job(name, "b1")  # on another connection, with its own answer
        await harness.wait_until(lambda: numbers(harness, "b1"))
        await harness.send_callback("done", "fine", job=numbers(harness, "b1")[0])
        assert (await harness.read_response(other)).body == b"fine"

    run_scenario(story)


def test_a_dial_that_comes_up_after_it_was_given_up_carries_nothing_and_is_not_counted_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(harness: NodeHarness) -> None:
        up, go = trio.Event(), trio.Event()

        async def late(dial: str, limit: int) -> SocketStream:
            stream = await connect(dial, limit)
            up.set()
            await go.wait()
            return stream

        monkeypatch.setattr("burlmoor.upstream.pool.connect", late)
        wire = await harness.submit_job()
        await up.wait()
        await wire.socket_stream.aclose()
        await harness.wait_until(lambda: not harness.node.engine.open_job_count)
        go.set()
        await harness.wait_until(
            lambda: not harness.node.attempts.in_flight and not harness.node.pool.open_count
        )
        assert not harness.jobs

    run_scenario(story)


def test_a_forward_whose_task_dies_still_ends_and_its_client_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(harness: NodeHarness) -> int:
        monkeypatch.setattr(harness.node.pool, "acquire", lambda _dial: 1 // 0)
        return (await harness.read_response(await harness.submit_job("once", ms=800))).status

    lines: list[str] = []
    assert run_scenario(story, lines=lines) == 502  # what became of it is not known
    assert any("attempt-error" in line for line in lines)


# --- the node closes ------------------------------------------------------------------------------


def test_a_request_that_comes_as_its_resting_connection_is_closed_is_not_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Read and dropped, it would have had no answer; and what is sent on after a close is lost.
    taken: list[str] = []
    receive_now = SocketStream.receive_now

    async def story(harness: NodeHarness) -> None:
        wire = await harness.submit_job("once", "a1")
        await harness.wait_until(lambda: harness.jobs)
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(wire)).body == b"fine"
        take = harness.node.engine.admit

        def take_noted(*asked: Any) -> Any:
            taken.append(asked[1])
            return take(*asked)

        monkeypatch.setattr(harness.node.engine, "admit", take_noted)

        def closing(stream: SocketStream) -> bool | None:
            # The socket is readable and its task about to read when the sweep closes what lies idle.
            monkeypatch.setattr(SocketStream, "receive_now", receive_now)
            harness.node.server.close_idle()
            return receive_now(stream)

        monkeypatch.setattr(SocketStream, "receive_now", closing)
        await harness.send_job(wire, "once", "a2")
        with suppress(trio.BrokenResourceError):
            assert await wire.read() is None
        again = await harness.submit_job("once", "a2")  # as the protocol has clients do
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        await harness.send_callback("done", "again")
        assert (await harness.read_response(again)).body == b"again"
        assert taken == ["a2"]

    run_scenario(story)


def classes(deadline: float) -> dict[str, Any]:
    """The usual settings, with this deadline (ms) for all."""
    return {
        **SETTINGS_OBJECT,
        "RequestClasses": [{**each, "HardLimit": deadline} for each in SETTINGS_OBJECT["RequestClasses"]],
    }


@pytest.mark.parametrize("deadline", [400.0, 1000.0, 2000.0, 5000.0])
def test_what_comes_late_in_a_stop_is_answered_before_sigkill_may_come(deadline: float) -> None:
    # SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; 3.7 s where that is longer.
    killed = min(deadline / 1000.0, 3.0) + 0.7
    late: list[float] = []

    async def story(harness: NodeHarness) -> None:
        began = trio.current_time()

        async def client(number: int) -> None:
            """Asks again and again on its connection for as long as that stays open."""
            wire = await harness.connect_client()
            for again in range(1000):
                asked = trio.current_time() - began
                if asked >= killed:
                    return
                try:
                    await harness.send_job(wire, "once", f"c{number}-{again}", int(deadline))
                    answer = await wire.read()
                except trio.BrokenResourceError:
                    answer = None
                if answer is not None and asked > 0.7:
                    late.append(trio.current_time() - began)
                if answer is None or answer.headers.get("connection") == "close":
                    if trio.current_time() - began > 0.4:
                        return
                    wire = await harness.connect_client()
                await trio.sleep(0.02)

        harness.nursery.start_soon(harness.node.shut_down)
        with trio.move_on_after(killed):
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(client, number)
        # Whoever still waits for an answer now asked less than 0.7 s after SIGTERM, or not at all.
        assert not harness.node.engine.open_job_count
        assert not harness.node.server.has_unsent

    run_scenario(story, given_settings=classes(deadline))
    assert all(at < killed for at in late)


def numbers(harness: NodeHarness, ref: str) -> list[int]:
    """Which of the forwards that executors got are of this job."""
    return [number for number, (_, job) in enumerate(harness.jobs) if job.headers["request-id"] == ref]
