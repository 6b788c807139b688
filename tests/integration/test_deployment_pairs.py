"""Deployments over sockets: each two values of any two settings meet in at least one story.

One node and two scripted executors. An executor's first act is the story's, all later ones take the job and
finish it. Judged from outside: how often each job went out, and what its client was told.
"""

from __future__ import annotations

import random
from collections import Counter
from itertools import combinations
from typing import Any

import pytest

from burlmoor.testbed.http_stream import HttpMessage
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import NodeHarness, run_scenario

SETTINGS: dict[str, list[Any]] = {
    "kind": ["lookup", "once", "keyed"],
    "act": ["take", "full", "late", "503", "504", "500", "reset", "hang"],
    "scope": ["all", "zone", "cell"],
    "cap": [1, 2, 5],
    "cancel": [True, False],
    "copies": [True, False],
    "tells": [True, False],
    "mode": ["ask", "push"],
    "told": [True, False],  # whether executors tell of starts, whatever the settings say
}
_CANDIDATES = 40


def pairwise(table: dict[str, list[Any]], seed: int = 1) -> list[dict[str, Any]]:
    """Rows in which each two values of any two columns meet: the greedy way, a few dozen tries a row."""
    rng, rows = random.Random(seed), list[dict[str, Any]]()
    missing = {(a, x, b, y) for a, b in combinations(sorted(table), 2) for x in table[a] for y in table[b]}

    def new(row: dict[str, Any]) -> set[tuple[str, Any, str, Any]]:
        return missing & {(a, row[a], b, row[b]) for a, b in combinations(sorted(table), 2)}

    while missing:
        a, x, b, y = min(missing, key=repr)
        tries = [
            {**{name: rng.choice(values) for name, values in table.items()}, a: x, b: y}
            for _ in range(_CANDIDATES)
        ]
        rows.append(max(tries, key=lambda row: len(new(row))))
        missing -= new(rows[-1])
    return rows


ROWS = pairwise(SETTINGS)


def settings(row: dict[str, Any]) -> dict[str, Any]:
    classes = [
        {**each, "HardLimit": 1500.0, "DedupScope": row["scope"]}
        for each in SETTINGS_OBJECT["RequestClasses"]
    ]
    limits = {"SendCap": row["cap"], "Cancel": row["cancel"], "SecondCopies": row["copies"]}
    return {
        **SETTINGS_OBJECT,
        "RequestClasses": classes,
        "Limits": {**SETTINGS_OBJECT["Limits"], **limits},
        "Specifics": {"TellsStart": row["tells"], "Progress": 400.0},
        "RegistryMode": row["mode"],
    }


@pytest.mark.parametrize("row", ROWS, ids=lambda row: "-".join(str(value) for value in row.values()))
def test_each_job_has_one_answer_and_goes_out_as_its_class_allows(row: dict[str, Any]) -> None:
    async def story(made: NodeHarness) -> HttpMessage:
        wire = await made.submit_job(row["kind"], "a1", ms=1500)
        finished: list[int] = []

        async def executors() -> None:
            while True:
                await made.wait_until(lambda: len(made.jobs) > len(finished))
                number = len(finished)
                finished.append(number)
                if number == 0 and row["act"] != "take":
                    continue
                if row["told"]:
                    await made.send_callback("started", job=number)
                await made.send_callback("done", f"by {number}", job=number)

        made.nursery.start_soon(executors)
        answer = await made.read_response(wire)
        await made.wait_until(lambda: len(made.jobs) <= len(finished))
        return answer

    jobs: list[tuple[str, HttpMessage]] = []

    async def told(made: NodeHarness) -> HttpMessage:
        answer = await story(made)
        jobs.extend(made.jobs)
        return answer

    answer = run_scenario(told, row["act"], given_settings=settings(row))
    sent = Counter(message.headers["request-id"] for _, message in jobs)["a1"]
    proved = row["act"] in ("full", "late")  # not started: may go out again whatever its class
    served = {200} if row["act"] == "take" or (proved and row["cap"] > 1) else {200, 429, 502, 503, 504}
    assert 1 <= sent <= row["cap"]
    assert answer.status in served
    if row["kind"] == "once" and row["act"] not in ("take", "full", "late"):
        assert sent == 1
        assert answer.status in (502, 504)
    if answer.status == 200:
        assert answer.body == f"by {1 if row['act'] != 'take' else 0}".encode()


def test_every_two_values_meet() -> None:
    for a, b in combinations(SETTINGS, 2):
        assert {(row[a], row[b]) for row in ROWS} == {(x, y) for x in SETTINGS[a] for y in SETTINGS[b]}
