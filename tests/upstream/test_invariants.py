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
@pytest.mark.parametrize("callback_at", [0.0, 0.08], ids=["before the drain", "just before the withdrawal"])
async def test_an_attempt_that_a_call_back_ended_is_not_withdrawn(callback_at: float) -> None:
    lines: list[str] = []
    async with open_node_harness("hang", lines=lines) as harness:
        await harness.wait_ready()
        harness.open_clients.append(await harness.submit_job("once"))
        await harness.wait_until(lambda: harness.jobs)
        if not callback_at:
            await harness.send_callback("done")
        harness.components.endpoint_updater.disable(harness.jobs[0][0])
        await trio.sleep(callback_at)
        if callback_at:
            await harness.send_callback("done")
        await trio.sleep(0.5 - callback_at)
        assert harness.components.core.invariants.counts() == {}
    assert not [line for line in lines if "attempt-withdrawn" in line]
