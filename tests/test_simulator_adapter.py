"""The simulator adapter as a subprocess, on lines of the simulator's protocol."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
SETTINGS_OBJECT: dict[str, Any] = {
    "Balancers": 2,
    "Kinds": ["k1", "k2"],
    "Limits": {"Cancel": True, "SecondCopies": True, "SendCap": 4, "RetryAfter": True},
    "Me": 0,
    "Orgs": [{"Name": "t1", "Portion": 1.0, "QuotaRps": 5.0}],
    "RegistryMode": "ask",
    "RequestClasses": [
        {"Name": "c1", "Credit": 2.0, "Target": 300.0, "HardLimit": 4000.0, "Idempotency": "repeatable"},
        {"Name": "c2", "Credit": 5.0, "Target": 300.0, "HardLimit": 4000.0, "Idempotency": "once"},
    ],
    "Rules": {"Cold": 9000.0, "FallMultiple": 2.0, "OverloadFor": 1000.0, "StartCapacity": 0.2},
    "Specifics": {"ClassStretch": [2.0, None], "Progress": 1000.0, "TellsStart": True},
    "Tick": 5.0,
    "WorthBy": "work",
    "Zone": "z1",
    "SomethingNew": {"x": 1},
}
ENDPOINTS = [["live", "z1", 3.0, 0, "k1", None, f"executor-{number}"] for number in range(6)]


def run_adapter(lines: list[str], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run an adapter on these lines until the end of input."""
    return subprocess.run(
        [sys.executable, "-m", "burlmoor.simulator_adapter"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def make_batch(now: float, *instances: tuple[int, list[list[Any]]]) -> str:
    """Return a batch line with the events of each instance."""
    return json.dumps(
        {"Moment": now, "parts": [{"I": instance, "events": events} for instance, events in instances]}
    )


def spawn_events(seed: int = 1) -> list[list[Any]]:
    return [["Spawn", seed, SETTINGS_OBJECT], ["Registry", "disk", 1, ENDPOINTS]]


def job_request(job: int, job_class: str = "c1") -> list[Any]:
    return ["Knock", job, job_class, 1, None, 4000.0, 200.0, "t1", None, 1]


def make_conversation(instances: list[int]) -> list[str]:
    """Return lines that start these instances and send 39 jobs to each."""
    lines = [make_batch(0.0, *((instance, spawn_events(instance)) for instance in instances))]
    for step in range(1, 40):
        events = {instance: [job_request(1000 * step + instance), ["Fired", 0]] for instance in instances}
        lines.append(make_batch(10.0 * step, *events.items()))
    return lines


def test_every_line_gets_one_reply_and_the_end_of_input_ends_the_adapter() -> None:
    completed = run_adapter(
        [
            make_batch(0.0),
            make_batch(1.0, (1, spawn_events())),
            make_batch(2.0, (1, [job_request(7)])),
            make_batch(60.0, (1, [["Fired", 0]])),
        ]
    )
    assert completed.returncode == 0
    assert completed.stderr == ""
    replies = [json.loads(line) for line in completed.stdout.splitlines()]
    assert len(replies) == 4
    assert replies[0] == {"parts": []}
    (part,) = replies[3]["parts"]
    assert part["I"] == 1
    assert part["decisions"][0][0] == "Issue"
    assert part["decisions"][0][1] == 7


def test_every_event_is_parsed_and_an_unknown_one_skipped() -> None:
    events: list[list[Any]] = [
        job_request(7),
        ["Registry", "error", 1, None],
        ["Registry", "unknown", 1, []],
        ["Registry", "diff", 2, [["quiescing", "z1", None, None, None, None, "executor-1"]]],
        ["UnderWay", 99, 3.0, 0, "executor-0"],
        ["Heartbeat", 99, 1, "executor-0", None, 0],
        ["Heartbeat", 99, 2, "executor-0", 0.5, 0],
        ["Heartbeat", 99, 9, "executor-0", 0.5, 0],
        ["Settled", 99, 5.0, "served", None, 0, True, "executor-0", None],
        ["Settled", 98, 5.0, "a new outcome"],
        ["Withdrawn", 97],
        ["Fired", 5],
        ["Health", "executor-0", "served", 2.0, None],
        ["Mail", 1, "aGk="],
        ["Brand new event", 1, 2, 3],
    ]
    completed = run_adapter([make_batch(0.0, (1, spawn_events())), make_batch(5.0, (1, events))])
    assert completed.returncode == 0, completed.stderr
    assert "InternalError" not in completed.stdout


def test_an_instance_killed_and_spawned_in_one_batch_starts_empty() -> None:
    lines = [
        make_batch(0.0, (1, spawn_events())),
        make_batch(1.0, (1, [job_request(7)])),
        make_batch(2.0, (1, [["Killed"], *spawn_events(2)])),
    ]
    completed = run_adapter([*lines, make_batch(100.0, (1, [["Fired", 0]]))])
    assert completed.returncode == 0
    assert "Issue" not in completed.stdout


def test_a_killed_instance_decides_nothing() -> None:
    completed = run_adapter(
        [
            make_batch(0.0, (1, spawn_events())),
            make_batch(1.0, (1, [["Killed"]])),
            make_batch(9.0, (1, [["Fired", 0]])),
        ]
    )
    assert json.loads(completed.stdout.splitlines()[2]) == {"parts": []}


def test_invalid_settings_become_an_internal_error() -> None:
    completed = run_adapter([make_batch(0.0, (1, [["Spawn", 1, {**SETTINGS_OBJECT, "RequestClasses": []}]]))])
    assert completed.returncode == 0
    (decision,) = json.loads(completed.stdout)["parts"][0]["decisions"]
    assert decision[0] == "InternalError"
    assert "classes" in decision[1]


def test_a_malformed_line_ends_the_adapter_with_a_message() -> None:
    for line in ["not json", "[]", '{"parts":[]}', '{"Moment":1,"parts":[{"I":1,"events":[["Knock"]]}]}']:
        completed = run_adapter([line])
        assert completed.returncode != 0
        assert "burlmoor:" in completed.stderr
        assert "Traceback" not in completed.stderr
        assert completed.stdout == ""


def test_the_same_events_give_the_same_actions_under_any_hash_seed() -> None:
    lines = make_conversation([1, 2, 3])
    assert run_adapter(lines, "1").stdout == run_adapter(lines, "77").stdout


def collect_decisions(instances: list[int]) -> dict[int, list[Any]]:
    """Run an adapter with these instances; return the decisions of each."""
    decisions: dict[int, list[Any]] = {instance: [] for instance in instances}
    for line in run_adapter(make_conversation(instances)).stdout.splitlines():
        for reply in json.loads(line)["parts"]:
            decisions[reply["I"]].append(reply["decisions"])
    return decisions


def test_instances_decide_alike_in_one_process_and_in_several() -> None:
    together = collect_decisions([1, 2, 3])
    apart = {instance: collect_decisions([instance])[instance] for instance in (1, 2, 3)}
    assert together == apart
    assert all(together.values())
