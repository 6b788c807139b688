"""The invariants that are checked at run time count a send, a close or a withdrawal that breaks a rule."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.transport.stream import SocketStream
from burlmoor.upstream import request_sender
from burlmoor.upstream.in_flight import InFlightAttempt
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    import pytest


async def test_a_send_without_its_precondition_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
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


async def test_a_connection_that_cannot_be_reset_counts_as_not_withdrawn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_node_harness("hang", "take") as harness:
        await harness.wait_ready()
        monkeypatch.setattr(SocketStream, "set_reset_on_close", lambda *_, **__: False)
        harness.open_clients.append(await harness.submit_job())
        await harness.wait_until(harness.components.core.invariants.counts)  # it is cancelled after 0.45 s
        assert harness.components.core.invariants.counts() == {"close": 1}


async def test_an_attempt_that_stays_at_a_draining_endpoint_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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
