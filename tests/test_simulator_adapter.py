"""The adapter as a subprocess, on the wire's own lines."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
OPTIONS: dict[str, Any] = {
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
LIST = [["live", "z1", 3.0, 0, "k1", None, f"executor-{i}"] for i in range(6)]


def run(lines: list[str], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
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


def batch(now: float, *parts: tuple[int, list[list[Any]]]) -> str:
    return json.dumps({"Moment": now, "parts": [{"I": i, "events": events} for i, events in parts]})


def spawn(seed: int = 1) -> list[list[Any]]:
    return [["Spawn", seed, OPTIONS], ["Registry", "disk", 1, LIST]]


def knock(ref: int, name: str = "c1") -> list[Any]:
    return ["Knock", ref, name, 1, None, 4000.0, 200.0, "t1", None, 1]


def conversation(instances: list[int]) -> list[str]:
    lines = [batch(0.0, *((i, spawn(i)) for i in instances))]
    for step in range(1, 40):
        now = 10.0 * step
        lines.append(batch(now, *((i, [knock(1000 * step + i, "c1"), ["Fired", 0]]) for i in instances)))
    return lines


def test_every_line_is_answered_by_one_line_and_the_end_of_input_ends_it() -> None:
    done = run(
        [batch(0.0), batch(1.0, (1, spawn())), batch(2.0, (1, [knock(7)])), batch(60.0, (1, [["Fired", 0]]))]
    )
    assert done.returncode == 0
    assert done.stderr == ""
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert len(replies) == 4
    assert replies[0] == {"parts": []}
    (part,) = replies[3]["parts"]
    assert part["I"] == 1
    assert part["decisions"][0][0] == "Issue"
    assert part["decisions"][0][1] == 7


def test_every_event_is_understood_and_the_unknown_skipped() -> None:
    events: list[list[Any]] = [
        knock(7),
        ["Registry", "error", 1, None],
        ["Registry", "unheard of", 1, []],
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
    done = run([batch(0.0, (1, spawn())), batch(5.0, (1, events))])
    assert done.returncode == 0, done.stderr
    assert "InternalError" not in done.stdout


def test_killed_and_spawned_in_one_batch_starts_empty() -> None:
    lines = [batch(0.0, (1, spawn())), batch(1.0, (1, [knock(7)])), batch(2.0, (1, [["Killed"], *spawn(2)]))]
    done = run([*lines, batch(100.0, (1, [["Fired", 0]]))])
    assert done.returncode == 0
    assert "Issue" not in done.stdout


def test_a_stopped_instance_takes_no_more_part() -> None:
    done = run([batch(0.0, (1, spawn())), batch(1.0, (1, [["Killed"]])), batch(9.0, (1, [["Fired", 0]]))])
    assert json.loads(done.stdout.splitlines()[2]) == {"parts": []}


def test_settings_that_cannot_be_meant_become_an_internal_error() -> None:
    done = run([batch(0.0, (1, [["Spawn", 1, {**OPTIONS, "RequestClasses": []}]]))])
    assert done.returncode == 0
    (decision,) = json.loads(done.stdout)["parts"][0]["decisions"]
    assert decision[0] == "InternalError"
    assert "classes" in decision[1]


def test_a_malformed_line_ends_it_with_a_plain_message() -> None:
    for line in ["not json", "[]", '{"parts":[]}', '{"Moment":1,"parts":[{"I":1,"events":[["Knock"]]}]}']:
        done = run([line])
        assert done.returncode != 0
        assert "burlmoor:" in done.stderr
        assert "Traceback" not in done.stderr
        assert done.stdout == ""


def test_the_same_events_give_the_same_actions_under_any_hash_seed() -> None:
    lines = conversation([1, 2, 3])
    assert run(lines, "1").stdout == run(lines, "77").stdout


def test_instances_act_alike_in_one_process_and_apart() -> None:
    def actions(instances: list[int]) -> dict[int, list[Any]]:
        found: dict[int, list[Any]] = {i: [] for i in instances}
        for line in run(conversation(instances)).stdout.splitlines():
            for part in json.loads(line)["parts"]:
                found[part["I"]].append(part["decisions"])
        return found

    together = actions([1, 2, 3])
    apart = {i: actions([i])[i] for i in (1, 2, 3)}
    assert together == apart
    assert all(together.values())
