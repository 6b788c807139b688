"""The discovery client over real sockets: watch faults, invalid lists and long lists."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import pytest
import trio

from burlmoor.endpoints.overrides import EndpointOverrides
from tests.support.admin_client import call_admin
from tests.support.configuration import SETTINGS_OBJECT, write_config
from tests.support.node_harness import NodeHarness, open_node_harness

if TYPE_CHECKING:
    from pathlib import Path

PUSH_SETTINGS = {**SETTINGS_OBJECT, "RegistryMode": "push"}


async def assert_all_jobs_are_sent_to_e1(harness: NodeHarness) -> None:
    for number in range(6):
        client = await harness.submit_job("once", f"job{number}")
        while len(harness.jobs) <= number:
            await harness._changed.wait()
        assert harness.jobs[-1][0] == "e1"
        await harness.send_callback("done")
        assert (await harness.read_response(client)).status == 200


async def break_watch(harness: NodeHarness, fault: str, tmp_path: Path) -> float:
    """Break the open watch; return the notification deadline of a missed change, in seconds from now."""
    watch = harness.open_watches.pop()
    wait_seconds = float(harness.discovery_paths[-1].partition("wait_ms=")[2]) / 1000.0
    if fault == "reset":
        await watch.socket_stream.aclose()
    elif fault == "down":
        await watch.write("HTTP/1.1 503 Busy")
        for _ in range(2):
            await harness.wait_until(lambda: harness.open_watches)
            await harness.open_watches.pop().write("HTTP/1.1 503 Busy")
        return 10.0
    elif fault == "address change":
        harness.node.reload(write_config(tmp_path, discovery=await harness.start_discovery()))
        return 4.0
    return max(6.0, wait_seconds + 2.0)


@pytest.mark.parametrize("settings", [SETTINGS_OBJECT, PUSH_SETTINGS], ids=["poll", "push"])
@pytest.mark.parametrize("fault", ["silent", "reset", "down", "address change"])
async def test_a_drain_takes_effect_in_time_after_any_watch_fault(
    fault: str, settings: dict[str, Any], tmp_path: Path
) -> None:
    # A silent watch looks like one without changes. The notification deadline of a missed change is 6 s after
    # the watch fell silent, or 2 s after the end of its call's wait, if that is later. For a change that an
    # agent receives, it is the moment at which the agent answers again.
    async with open_node_harness(given_settings=settings) as harness:
        await harness.publish(5, e0="active", e1="active")
        await harness.wait_until(lambda: harness.open_watches)
        harness.is_discovery_silent = True
        started_at = trio.current_time()
        deadline_seconds = await break_watch(harness, fault, tmp_path)
        calls = len(harness.discovery_paths)
        await harness.wait_until(lambda: len(harness.discovery_paths) > calls and harness.open_watches)
        if fault == "address change":
            await harness.publish(6, e0="leaving", e1="active")
        else:
            await harness.publish(6, is_complete=False, e0="leaving")
        await harness.wait_until(lambda: harness.components.directory.find_live("e0") is None)
        assert trio.current_time() < started_at + deadline_seconds
        harness.is_discovery_silent = False
        await assert_all_jobs_are_sent_to_e1(harness)


async def test_a_silent_agent_is_called_at_short_intervals() -> None:
    # Once the agent answers again, the node counts as notified of the changes that the agent has received.
    async with open_node_harness(given_settings=PUSH_SETTINGS) as harness:
        harness.is_discovery_silent = True
        await harness.wait_until(lambda: len(harness.discovery_paths) > 5)
        gaps = []
        for _ in range(4):
            calls = len(harness.discovery_paths)
            since = trio.current_time()
            while len(harness.discovery_paths) <= calls:
                await harness._changed.wait()
            gaps.append(trio.current_time() - since)
        assert sorted(gaps)[1] < 0.3  # two of the four gaps may be longer, on a loaded machine


INVALID_LISTS = [
    (b"{", "discovery-failed", "body: "),
    (b"null", "discovery-failed", "not a list"),
    (b'{"seq": 9, "whole": true, "hosts": []}', "discovery-failed", "hosts: empty"),
    (b'{"seq": 9, "whole": false, "hosts": [{"host": "e0", "share": NaN}]}', "discovery-failed", "body: "),
    (
        b'{"seq": 9, "whole": false, "hosts": [{"host": "e0"}, {"host": 7}]}',
        "discovery-failed",
        "hosts[1].host",
    ),
    (
        b'{"seq": 9, "whole": true, "hosts": [' + b" " * (5 << 20),
        "discovery-failed",
        "body exceeds the limit of 4194304 bytes",
    ),
]


@pytest.mark.parametrize(("body", "event", "field"), INVALID_LISTS)
async def test_an_invalid_list_is_ignored_and_the_watch_continues(
    body: bytes, event: str, field: str
) -> None:
    lines: list[str] = []
    async with open_node_harness(lines=lines) as harness:
        await harness.wait_ready()
        await harness.wait_until(lambda: harness.open_watches)
        # The node stops reading at the size limit of a list, and closes the connection.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await harness.open_watches.pop().write("HTTP/1.1 200 OK", body)
        await harness.wait_until(lambda: any(event in line for line in lines))
        assert harness.components.directory.version == 1
        assert harness.components.directory.find_live("e0")
        assert harness.components.directory.find_live("e1")
        await harness.publish(10, e0="leaving", e1="active")
        await harness.wait_until(lambda: harness.components.directory.version == 10)
    errors = [line["error"] for line in map(json.loads, lines) if line["event"] == event]
    assert len(errors) == 1
    assert field in errors[0]


async def test_invalid_entries_neither_block_nor_undo_a_drain() -> None:
    lines: list[str] = []
    async with open_node_harness(lines=lines) as harness:
        published = harness.endpoint_list(7, e0="leaving", e1="active")
        duplicate = {**published["hosts"][0], "health": "active"}
        published["hosts"] += [
            duplicate,
            {**duplicate, "host": "e2", "dial": "nowhere"},
            {**duplicate, "host": "e3", "share": -1},
        ]
        await harness.wait_until(lambda: harness.open_watches)
        await harness.open_watches.pop().write("HTTP/1.1 200 OK", json.dumps(published).encode())
        await harness.wait_until(lambda: harness.components.directory.version == 7)
        assert [harness.components.directory.find_live(f"e{number}") is not None for number in range(4)] == [
            False,
            True,
            False,
            False,
        ]
    invalid = next(
        line for line in map(json.loads, lines) if line["event"] == "endpoint-list-invalid-entries"
    )
    assert invalid["count"] == 3
    assert invalid["error"].startswith("hosts[2].host")


MANY_ENDPOINTS = 1200


async def test_a_long_list_can_be_applied_updated_and_disabled() -> None:
    async with open_node_harness() as harness:
        published = harness.endpoint_list(7, e0="active", e1="active")
        draining = {**published["hosts"][0], "health": "leaving"}
        published["hosts"] += [
            {**draining, "host": f"executor-{number:06d}", "dial": f"127.0.3.{number % 250}:8081"}
            for number in range(MANY_ENDPOINTS)
        ]
        body = json.dumps(published, indent=8).encode()
        assert len(body) > 256 * 1024
        await harness.wait_until(lambda: harness.open_watches)
        await harness.open_watches.pop().write("HTTP/1.1 200 OK", body)
        await harness.wait_until(lambda: harness.components.directory.version == 7)
        await harness.publish(8, is_complete=False, e0="leaving")
        await harness.wait_until(lambda: harness.components.directory.find_live("e0") is None)
        await assert_all_jobs_are_sent_to_e1(harness)
        disabled = {f"executor-{number:06d}": 1.0 for number in range(MANY_ENDPOINTS)}
        harness.components.endpoint_updater.set_overrides(EndpointOverrides(disabled_since=disabled))
        _, response = await call_admin(harness, "/ready", method="GET")
        assert response["out"] == sorted(disabled)
