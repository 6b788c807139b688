"""Data that earlier releases wrote is decoded by this one, and encoded again byte for byte.

The files under `data/` were recorded by the code of commit 69d0f80. They change only with a format, never
with a name in the code.
"""

from __future__ import annotations

import gzip
import json
from pathlib import Path

import msgspec
import pytest

from burlmoor.admin.overrides import Overrides
from burlmoor.config.options.parser import parse_options
from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.endpoints.overrides import EndpointOverrides
from burlmoor.lifecycle import handover_messages
from burlmoor.membership.codec import Message, MessageKind, decode, encode
from burlmoor.membership.member import MemberState, MemberStatus
from burlmoor.policy.statistics.snapshot import StatisticsSnapshot
from burlmoor.simulator_adapter.dispatcher_host import DispatcherHost
from burlmoor.testbed.deferred_verdict import judge as judge_deferred
from burlmoor.testbed.drill import DrillParameters, Verdict
from burlmoor.testbed.drill_watch import judge as judge_watch
from burlmoor.testbed.event_record import EventRecord
from burlmoor.testbed.fleet import record as records
from burlmoor.testbed.fleet.verdict import assess_run
from tests.policy.statistics.test_snapshot import driver_with_statistics, take

DATA = Path(__file__).parent / "data"
STATISTICS = (DATA / "statistics.msgpack").read_bytes()
OVERRIDES = Overrides(EndpointOverrides({"e1": 1700000000000.0}, {"e2": 1700000000500.5}), True)
ENDPOINT_LIST = DiscoveredList(
    7,
    True,
    [
        DiscoveredEndpoint("e0", "127.0.0.1:9", "a", "std", 1, "active", 2.5, 1700000000000.0),
        DiscoveredEndpoint("e1", "127.0.0.1:10", "b", "big", 0, "leaving"),
        DiscoveredEndpoint("e2"),
    ],
)
HANDOVER_MESSAGES: dict[str, handover_messages.Message] = {
    "hello": handover_messages.Hello(),
    "snapshot": handover_messages.Snapshot(
        OVERRIDES,
        ENDPOINT_LIST,
        msgspec.msgpack.decode(STATISTICS, type=StatisticsSnapshot),
        ["a1", "a2"],
        5,
        6,
    ),
    "accepting": handover_messages.Accepting(),
    "holds": handover_messages.ConnectionCounts(3, 4),
    "opened": handover_messages.JobOpened("a3"),
    "obey": handover_messages.ApplyOverride(9, "/executors/disable", "e1"),
    "called-back": handover_messages.ForwardedCallback(10, b'{"id":"a1"}'),
    "taken": handover_messages.Acknowledged(9),
    "client": handover_messages.PassedConnection(True, 1.25),
    "part": handover_messages.Fragment(b"xyz", True),
}


@pytest.mark.parametrize("name", HANDOVER_MESSAGES)
def test_handover_messages_keep_their_encoding(name: str) -> None:
    recorded = (DATA / "handover" / f"{name}.msgpack").read_bytes()
    assert msgspec.msgpack.decode(recorded, type=handover_messages.Message) == HANDOVER_MESSAGES[name]
    assert msgspec.msgpack.encode(HANDOVER_MESSAGES[name]) == recorded


def test_the_statistics_snapshot_keeps_its_encoding() -> None:
    decoded = msgspec.msgpack.decode(STATISTICS, type=StatisticsSnapshot)
    assert msgspec.msgpack.encode(decoded) == STATISTICS


def test_the_same_events_give_the_same_statistics_snapshot() -> None:
    driver = driver_with_statistics()
    assert msgspec.msgpack.encode(take(driver)) == STATISTICS


def test_the_overrides_file_keeps_its_encoding() -> None:
    recorded = (DATA / "overrides.json").read_bytes()
    assert msgspec.json.decode(recorded, type=Overrides) == OVERRIDES
    assert msgspec.json.encode(OVERRIDES) == recorded


def test_the_endpoint_list_keeps_its_encoding() -> None:
    recorded = (DATA / "endpoint-list.json").read_bytes()
    assert msgspec.json.decode(recorded, type=DiscoveredList) == ENDPOINT_LIST
    assert msgspec.json.encode(ENDPOINT_LIST) == recorded


def test_options_files_are_read_as_before() -> None:
    for case in json.loads((DATA / "options.json").read_bytes()):
        assert json.loads(msgspec.json.encode(parse_options(case["text"], "options"))) == case["read"]


def test_membership_datagrams_keep_their_encoding() -> None:
    for row in json.loads((DATA / "datagrams.json").read_text()):
        facts = tuple(
            MemberState(name, (address[0], address[1]), generation, nonce, incarnation, MemberStatus(state))
            for name, address, generation, nonce, incarnation, state in row["facts"]
        )
        message = Message(MessageKind(row["kind"]), row["number"], row["digest"], facts, row["target"])
        data, count = encode(message)
        assert (data.hex(), count) == (row["hex"], len(facts))
        assert decode(data) == message


def test_the_simulator_gets_the_same_replies() -> None:
    host = DispatcherHost()
    for line, reply in json.loads(gzip.decompress((DATA / "simulator.json.gz").read_bytes())):
        assert host.reply(line) == reply


def test_the_record_of_a_fleet_run_keeps_its_encoding(tmp_path: Path) -> None:
    run = records.read_record(DATA / "run")
    recorded = gzip.decompress((DATA / "run" / "record.json.gz").read_bytes())
    assert msgspec.json.encode(run) == recorded
    run.write(tmp_path)
    assert (tmp_path / "schedule.ini").read_text() == (DATA / "run" / "schedule.ini").read_text()
    assert gzip.decompress((tmp_path / "record.json.gz").read_bytes()) == recorded


def test_verdicts_on_recorded_rows_are_the_same() -> None:
    recorded = json.loads((DATA / "verdicts.json").read_text())
    run = records.read_record(DATA / "run")
    assessment = assess_run(run)
    fleet = Verdict("fleet", run.plan.seed, run.plan.seconds, assessment.claims(), assessment.figures())
    assert json.dumps(fleet.to_json_object()) == json.dumps(recorded["fleet"])
    assert json.dumps(judge_watch(run, DrillParameters(12.0, 4)).to_json_object()) == json.dumps(
        recorded["watch"]
    )
    event_record = EventRecord()
    event_record.unix_offset_ms, event_record.attempts = 1.0, list(run.attempts)
    event_record.requests = {job.id: job for job in run.requests}
    ids = list(event_record.requests)
    for number, job in enumerate(event_record.requests.values()):
        if number % 5 == 4:
            job.run_after = (ids[number - 1], ids[number - 2])
        if number % 7 == 6:
            job.not_before_unix_ms = 1.0 + job.sent_ms
    assert json.dumps(judge_deferred(event_record, 4, 12.0, [0, 1]).to_json_object()) == json.dumps(
        recorded["waiting"]
    )
