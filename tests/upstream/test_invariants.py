"""The run-time invariants on sends, closes and withdrawals count each violation."""

from __future__ import annotations

import pytest
import trio

from burlmoor.transport.stream import SocketStream
from burlmoor.upstream import request_sender
from burlmoor.upstream.in_flight import InFlightAttempt
from tests.support.node_harness import open_node_harness


async def test_send_despite_a_failed_precondition_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    async with open_node_harness() as harness:
        await harness.wait_ready()
        table = harness.components.directory.table
        monkeypatch.setattr(
            request_sender, "check_send_precondition", lambda attempt, _: table.get(attempt.endpoint)
        )
        monkeypatch.setattr(request_sender, "recheck_send_precondition", lambda *_: None)
        monkeypatch.setattr(harness.components.directory, "find_live", lambda _: None)
        harness.open_clients.append(await harness.submit_job())
        await harness.wait_until(lambda: harness.jobs)
        assert harness.components.core.invariants.counts().get("send", 0) > 0


async def test_close_without_reset_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_node_harness("hang", "take") as harness:
        await harness.wait_ready()
        monkeypatch.setattr(SocketStream, "set_reset_on_close", lambda *_, **__: False)
        harness.open_clients.append(await harness.submit_job())
        # The attempt is cancelled after 0.45 s.
        await harness.wait_until(harness.components.core.invariants.counts)
        assert harness.components.core.invariants.counts() == {"close": 1}


async def test_an_attempt_that_stays_at_a_draining_endpoint_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The end of the attempt would close its connection too.
    monkeypatch.setattr(InFlightAttempt, "on_attempt_ended", lambda _: None)
    async with open_node_harness("hang") as harness:
        await harness.wait_ready()
        harness.open_clients.append(await harness.submit_job("once"))
        await harness.wait_until(lambda: harness.jobs)
        name = harness.jobs[0][0]
        monkeypatch.setattr(InFlightAttempt, "abort", lambda _: None)
        harness.components.endpoint_updater.disable(name)
        await trio.sleep(0.5)
        monkeypatch.undo()
        assert harness.components.core.invariants.counts() == {"withdraw": 1}


# Guards against false alarms: a job whose result has arrived is no longer at its endpoint.
@pytest.mark.parametrize("is_callback_first", [True, False], ids=["before the drain", "after the drain"])
async def test_an_attempt_that_a_call_back_ended_is_not_withdrawn(
    monkeypatch: pytest.MonkeyPatch, is_callback_first: bool
) -> None:
    # The attempt still waits for its response when withdrawals are due, however late its call-back is.
    monkeypatch.setattr("burlmoor.upstream.in_flight._LATE_RESPONSE_GRACE_SECONDS", 5.0)
    lines: list[str] = []
    async with open_node_harness("hang", lines=lines) as harness:
        await harness.wait_ready()
        harness.open_clients.append(await harness.submit_job("once"))
        await harness.wait_until(lambda: harness.jobs)
        if is_callback_first:
            await harness.send_callback("done")
        harness.components.endpoint_updater.disable(harness.jobs[0][0])
        if not is_callback_first:
            await harness.send_callback("done")
        await trio.sleep(0.5)
        assert len(harness.components.attempts.in_flight) == 1
        assert harness.components.core.invariants.counts() == {}
    assert not [line for line in lines if "attempt-withdrawn" in line]
