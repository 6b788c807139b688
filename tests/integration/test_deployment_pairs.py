"""Pairwise tests of settings and executors over sockets: each pair of values of any two occurs in a scenario.

A scenario has one node and two scripted executors. Its action decides the response to the first attempt; the
executors accept all later attempts with 202 and report them as done. Each test checks how often its job was
sent, and which answer its client received.
"""

from __future__ import annotations

import random
from collections import Counter
from itertools import combinations, product
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest

from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import NodeHarness, open_node_harness

if TYPE_CHECKING:
    from burlmoor.testbed.http_stream import HttpMessage

# Most are settings of the node; `action` and `told` are the executors' behaviour. The names are part of the
# order in which rows are drawn.
PARAMETERS: dict[str, list[Any]] = {
    "kind": ["lookup", "once", "keyed"],
    "action": ["take", "full", "late", "503", "504", "500", "reset", "hang"],
    "scope": ["all", "zone", "cell"],
    "cap": [1, 2, 5],
    "cancel": [True, False],
    "copies": [True, False],
    "tells": [True, False],
    "mode": ["ask", "push"],
    "told": [
        True,
        False,
    ],  # whether executors report starts by call-back, whether or not `tells` announces it
}
_CANDIDATES_PER_ROW = 40


def pairwise(table: dict[str, list[Any]], seed: int = 1) -> list[dict[str, Any]]:
    """Return rows that together contain each pair of values of any two columns.

    Each row is the one of several random candidates that adds the most new pairs.
    """
    rng = random.Random(seed)
    rows: list[dict[str, Any]] = []
    columns = list(combinations(sorted(table), 2))
    missing = {
        (first, first_value, second, second_value)
        for first, second in columns
        for first_value in table[first]
        for second_value in table[second]
    }

    def new_pairs(row: dict[str, Any]) -> set[tuple[str, Any, str, Any]]:
        return missing & {(first, row[first], second, row[second]) for first, second in columns}

    while missing:
        first, first_value, second, second_value = min(missing, key=repr)
        candidates = [
            {
                **{name: rng.choice(values) for name, values in table.items()},
                first: first_value,
                second: second_value,
            }
            for _ in range(_CANDIDATES_PER_ROW)
        ]
        rows.append(max(candidates, key=lambda row: len(new_pairs(row))))
        missing -= new_pairs(rows[-1])
    return rows


ROWS = pairwise(PARAMETERS)


def settings_object(row: dict[str, Any]) -> dict[str, Any]:
    classes = [
        {**job_class, "HardLimit": 1500.0, "DedupScope": row["scope"]}
        for job_class in SETTINGS_OBJECT["RequestClasses"]
    ]
    limits = {"SendCap": row["cap"], "Cancel": row["cancel"], "SecondCopies": row["copies"]}
    return {
        **SETTINGS_OBJECT,
        "RequestClasses": classes,
        "Limits": {**SETTINGS_OBJECT["Limits"], **limits},
        "Specifics": {"TellsStart": row["tells"], "Progress": 400.0},
        "RegistryMode": row["mode"],
    }


async def finish_jobs(harness: NodeHarness, row: dict[str, Any], finished: list[int]) -> None:
    """Send the call-backs of all attempts; those of the first one only if the executor has accepted it."""
    while True:
        await harness.wait_until(lambda: len(harness.jobs) > len(finished))
        number = len(finished)
        finished.append(number)
        if number == 0 and row["action"] != "take":
            continue
        if row["told"]:
            await harness.send_callback("started", job=number)
        await harness.send_callback("done", f"by {number}", job=number)


class JobObservation(NamedTuple):
    """The answer that a job's client received, and how many attempts the executors received."""

    answer: HttpMessage
    attempt_count: int


async def submit_and_finish(row: dict[str, Any], harness: NodeHarness) -> JobObservation:
    """Submit one job, and wait for its answer and its call-backs."""
    client = await harness.submit_job(row["kind"], "a1", timeout_ms=1500)
    finished: list[int] = []
    harness.nursery.start_soon(finish_jobs, harness, row, finished)
    answer = await harness.read_response(client)
    await harness.wait_until(lambda: len(harness.jobs) <= len(finished))
    attempts = Counter(message.headers["request-id"] for _, message in harness.jobs)
    return JobObservation(answer, attempts["a1"])


@pytest.mark.parametrize("row", ROWS, ids=lambda row: "-".join(str(value) for value in row.values()))
async def test_each_job_gets_one_answer_and_only_the_attempts_that_its_class_allows(
    row: dict[str, Any],
) -> None:
    async with open_node_harness(row["action"], given_settings=settings_object(row)) as harness:
        answer, attempt_count = await submit_and_finish(row, harness)
    is_unstarted = row["action"] in ("full", "late")  # reported by the executor, so any class may be retried
    must_be_served = row["action"] == "take" or (is_unstarted and row["cap"] > 1)
    assert 1 <= attempt_count <= row["cap"]
    assert answer.status in ({200} if must_be_served else {200, 429, 502, 503, 504})
    if row["kind"] == "once" and row["action"] not in ("take", "full", "late"):
        assert attempt_count == 1
        assert answer.status in (502, 504)
    if answer.status == 200:
        assert answer.body == f"by {1 if row['action'] != 'take' else 0}".encode()


def test_each_pair_of_values_is_in_a_row() -> None:
    for first, second in combinations(PARAMETERS, 2):
        pairs = {(row[first], row[second]) for row in ROWS}
        assert pairs == set(product(PARAMETERS[first], PARAMETERS[second]))
