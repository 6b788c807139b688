"""KNOWN-RED.txt names only tests that exist, each with its command, its seed, what was seen and an issue."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ENTRIES = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
ENTRY = re.compile(r"(?P<path>\S+?)::(?P<function>\w+): `(?P<command>[^`]+)`(?P<seen>.+)\bissue \d+")
MIN_SEEN_LENGTH = 20  # characters; a word such as "failed" doesn't say what was seen


def find_problem(entry: str) -> str | None:
    """Return what an entry lacks, or None if it is complete."""
    match = ENTRY.fullmatch(entry)
    if match is None:
        return "not TEST: `COMMAND` SEEN; issue NUMBER"
    if "seed" not in entry:
        return "no seed"
    if len(match["seen"].strip()) < MIN_SEEN_LENGTH:
        return "nothing seen"
    tree = ast.parse((ROOT / match["path"]).read_text())
    functions = [each for each in tree.body if isinstance(each, (ast.FunctionDef, ast.AsyncFunctionDef))]
    return None if match["function"] in {each.name for each in functions} else "no such test"


def test_each_entry_names_a_test_that_exists_its_command_its_seed_what_was_seen_and_an_issue() -> None:
    problems = {entry: find_problem(entry) for entry in ENTRIES}
    assert not {entry: problem for entry, problem in problems.items() if problem is not None}


NAMED = "tests/test_known_red.py::test_an_incomplete_entry_is_noticed: "


@pytest.mark.parametrize(
    "entry",
    [
        f"{NAMED}failed in 1 of 10 runs (no seed): 3 of 4 jobs; issue 70",
        f"{NAMED}`pytest` failed in 1 of 10 runs (no seed): 3 of 4 jobs",
        f"{NAMED}`pytest` failed in 1 of 10 runs: 3 of 4 jobs; issue 70",
        f"{NAMED}`pytest`, no seed; issue 70",
        NAMED.replace("entry", "line") + "`pytest` failed in 1 of 10 runs (no seed): 3 of 4 jobs; issue 70",
    ],
    ids=["command", "issue", "seed", "seen", "test"],
)
def test_an_incomplete_entry_is_noticed(entry: str) -> None:
    assert find_problem(entry) is not None
