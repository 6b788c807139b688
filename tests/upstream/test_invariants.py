"""What is checked at run time shows where a guard is missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.transport.stream import SocketStream
from burlmoor.upstream import attempts
from burlmoor.upstream.in_flight import InFlightAttempt
from tests.support.node_harness import NodeHarness, run_scenario

if TYPE_CHECKING:
    import pytest


def test_a_send_without_its_precondition_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: NodeHarness) -> dict[str, int]:
        await harness.wait_ready()
        table = harness.node.directory._table
        monkeypatch.setattr(
            attempts, "check_send_precondition", lambda attempt, _: table.get(attempt.endpoint)
        )
        monkeypatch.setattr(attempts, "recheck_send_precondition", lambda *_: None)
        monkeypatch.setattr(harness.node.directory, "find_live", lambda _: None)
        harness.open_clients.append(await harness.submit_job())
        await harness.wait_until(lambda: harness.jobs)
        return harness.node.core.invariants.counts()

    assert run_scenario(scenario).get("send", 0) > 0


def test_a_connection_that_cannot_be_reset_counts_as_not_withdrawn(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: NodeHarness) -> dict[str, int]:
        await harness.wait_ready()
        monkeypatch.setattr(SocketStream, "set_reset_on_close", lambda *_, **__: False)
        harness.open_clients.append(await harness.submit_job())
        await harness.wait_until(harness.node.core.invariants.counts)  # it is cancelled after 0.45 s
        return harness.node.core.invariants.counts()

    assert run_scenario(scenario, "hang", "take") == {"close": 1}


def test_an_attempt_that_stays_at_a_draining_endpoint_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: NodeHarness) -> dict[str, int]:
        await harness.wait_ready()
        harness.open_clients.append(await harness.submit_job("once"))
        await harness.wait_until(lambda: harness.jobs)
        name = harness.jobs[0][0]
        monkeypatch.setattr(InFlightAttempt, "abort", lambda _: None)
        harness.node.directory.disable(name)
        await trio.sleep(0.5)
        monkeypatch.undo()
        return harness.node.core.invariants.counts()

    assert run_scenario(scenario, "hang") == {"withdraw": 1}
