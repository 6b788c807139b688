"""Stories over loopback of the watch on discovery: what breaks it, what cannot be meant, and long lists."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from burlmoor.admin.overrides import Overrides
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.endpoints.overrides import EndpointOverrides
from burlmoor.lifecycle.handover_channel import HandoverChannel
from burlmoor.lifecycle.handover_messages import Accepting, Snapshot
from burlmoor.lifecycle.handover_messages import Message as HandoverMessage
from burlmoor.stats.snapshot import StatisticsSnapshot
from tests.support.admin_client import call_admin
from tests.support.configuration import SETTINGS_OBJECT, write_config
from tests.support.node_harness import NodeHarness, run_scenario

PUSHED = {**SETTINGS_OBJECT, "RegistryMode": "push"}


async def all_go_elsewhere(made: NodeHarness) -> None:
    for number in range(6):
        wire = await made.submit_job("once", f"job{number}")
        while len(made.jobs) <= number:
            await made._changed.wait()
        assert made.jobs[-1][0] == "e1"
        await made.send_callback("done")
        assert (await made.read_response(wire)).status == 200


@pytest.mark.parametrize("given", [SETTINGS_OBJECT, PUSHED], ids=["asked", "pushed"])
@pytest.mark.parametrize("fault", ["silent", "reset", "down", "moved"])
def test_a_drain_is_heard_in_time_whatever_befell_the_watch(
    fault: str, given: dict[str, Any], tmp_path: Path
) -> None:
    # A silent watch looks like one with no news. What it missed counts as told 6 s after it fell silent, or
    # 2 s after its call's wait is over, if that is later. What an agent learns counts once it answers again.
    async def story(made: NodeHarness) -> None:
        await made.publish(5, e0="active", e1="active")
        await made.wait_until(lambda: made.open_watches)
        made.is_discovery_silent = True
        watch, began = made.open_watches.pop(), trio.current_time()
        within = max(6.0, float(made.discovery_paths[-1].partition("wait_ms=")[2]) / 1000.0 + 2.0)
        if fault == "reset":
            await watch.socket_stream.aclose()
        elif fault == "down":
            await watch.write("HTTP/1.1 503 Busy")
            for _ in range(2):
                await made.wait_until(lambda: made.open_watches)
                await made.open_watches.pop().write("HTTP/1.1 503 Busy")
            within = 10.0
        elif fault == "moved":
            within = 4.0
            made.node.reload(write_config(tmp_path, discovery=await made.start_discovery()))
        calls = len(made.discovery_paths)
        await made.wait_until(lambda: len(made.discovery_paths) > calls and made.open_watches)
        await made.publish(
            6, fault == "moved", e0="leaving", **({"e1": "active"} if fault == "moved" else {})
        )
        await made.wait_until(lambda: made.node.directory.find_live("e0") is None)
        assert trio.current_time() < began + within
        made.is_discovery_silent = False
        await all_go_elsewhere(made)

    run_scenario(story, given_settings=given)


def test_an_agent_that_was_silent_is_heard_within_the_drain_rule_once_it_answers() -> None:
    # What it learns meanwhile counts as told in the moment in which it answers again.
    async def story(made: NodeHarness) -> None:
        made.is_discovery_silent = True
        await made.wait_until(lambda: len(made.discovery_paths) > 5)
        gaps = []
        for _ in range(4):
            calls, since = len(made.discovery_paths), trio.current_time()
            while len(made.discovery_paths) <= calls:
                await made._changed.wait()
            gaps.append(trio.current_time() - since)
        assert sorted(gaps)[1] < 0.3  # the machine may be busy for a call or two

    run_scenario(story, given_settings=PUSHED)


BAD = [
    (b"{", "discovery-failed", ""),
    (b"null", "discovery-failed", "not a list"),
    (b'{"seq": 9, "whole": true, "hosts": []}', "discovery-failed", "hosts: empty"),
    (b'{"seq": 9, "whole": false, "hosts": [{"host": "e0", "share": NaN}]}', "discovery-failed", ""),
    (
        b'{"seq": 9, "whole": false, "hosts": [{"host": "e0"}, {"host": 7}]}',
        "discovery-failed",
        "hosts[1].host",
    ),
    (b'{"seq": 9, "whole": true, "hosts": [' + b" " * (5 << 20), "discovery-failed", "too long"),
]


@pytest.mark.parametrize(("body", "event", "field"), BAD)
def test_what_is_no_list_changes_nothing_and_does_not_stop_the_watch(
    body: bytes, event: str, field: str
) -> None:
    async def story(made: NodeHarness) -> None:
        await made.wait_until(lambda: made.open_watches)
        with suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):  # the node reads no more than it will hold
            await made.open_watches.pop().write("HTTP/1.1 200 OK", body)
        await made.wait_until(lambda: any(event in line for line in lines))
        assert made.node.directory.version == 1
        assert made.node.directory.find_live("e0") and made.node.directory.find_live("e1")
        await made.publish(10, e0="leaving", e1="active")
        await made.wait_until(lambda: made.node.directory.version == 10)

    lines: list[str] = []
    run_scenario(story, lines=lines)
    told = [each["error"] for each in map(json.loads, lines) if each["event"] == event]
    assert len(told) == 1
    assert field in told[0]


def test_a_bad_entry_keeps_no_drain_from_being_heard_and_undoes_none() -> None:
    async def story(made: NodeHarness) -> None:
        told = made.endpoint_list(7, True, e0="leaving", e1="active")
        twice = {**told["hosts"][0], "health": "active"}
        told["hosts"] += [
            twice,
            {**twice, "host": "e2", "dial": "nowhere"},
            {**twice, "host": "e3", "share": -1},
        ]
        await made.wait_until(lambda: made.open_watches)
        await made.open_watches.pop().write("HTTP/1.1 200 OK", json.dumps(told).encode())
        await made.wait_until(lambda: made.node.directory.version == 7)
        assert [made.node.directory.find_live(f"e{n}") is not None for n in range(4)] == [
            False,
            True,
            False,
            False,
        ]

    lines: list[str] = []
    run_scenario(story, lines=lines)
    bad = next(each for each in map(json.loads, lines) if each["event"] == "endpoint-list-invalid-entries")
    assert bad["count"] == 3
    assert bad["error"].startswith("hosts[2].host")


MANY = 1200


def test_a_long_list_is_served_and_changed_and_all_of_it_may_be_out_by_hand() -> None:
    async def story(made: NodeHarness) -> None:
        told = made.endpoint_list(7, True, e0="active", e1="active")
        usual = {**told["hosts"][0], "health": "leaving"}
        told["hosts"] += [
            {**usual, "host": f"executor-{n:06d}", "dial": f"127.0.3.{n % 250}:8081"} for n in range(MANY)
        ]
        body = json.dumps(told, indent=8).encode()
        assert len(body) > 256 * 1024
        await made.wait_until(lambda: made.open_watches)
        await made.open_watches.pop().write("HTTP/1.1 200 OK", body)
        await made.wait_until(lambda: made.node.directory.version == 7)
        await made.publish(8, False, e0="leaving")
        await made.wait_until(lambda: made.node.directory.find_live("e0") is None)
        await all_go_elsewhere(made)
        out = {f"executor-{n:06d}": 1.0 for n in range(MANY)}
        made.node.directory.set_overrides(EndpointOverrides(disabled_since=out))
        _, shown = await call_admin(made, "/ready", method="GET")
        assert shown["out"] == sorted(out)

    run_scenario(story)


def test_a_message_between_processes_may_be_far_longer_than_a_datagram() -> None:
    hosts = {
        "hosts": [{"host": f"executor-{n:06d}", "dial": f"127.0.0.1:{n + 1}"} for n in range(5000)],
        "seq": 4,
    }
    snapshot = Snapshot(
        Overrides(), msgspec.convert(hosts, DiscoveredList), StatisticsSnapshot(), ["a"], 1, 2
    )

    class Side:
        def __init__(self) -> None:
            self.heard: list[HandoverMessage] = []
            self.whole = trio.Event()

        def on_message(
            self, peer: HandoverChannel, message: HandoverMessage, sock: socket.socket | None
        ) -> None:
            self.heard.append(message)
            if isinstance(message, Accepting):
                self.whole.set()

        def on_channel_lost(self, peer: HandoverChannel) -> None: ...

    async def story() -> None:
        async with trio.open_nursery() as nursery:
            ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            here, there = Side(), Side()
            peers = [
                HandoverChannel(sock, side, nursery, print)
                for sock, side in zip(ends, (here, there), strict=True)
            ]
            nursery.start_soon(peers[1].run)
            assert peers[0].send(snapshot)
            assert peers[0].send(Accepting())
            with trio.fail_after(10.0):
                await there.whole.wait()
            assert there.heard == [snapshot, Accepting()]
            for peer in peers:
                peer.close()

    trio.run(story)
