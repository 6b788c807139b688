"""KNOWN-RED.txt has at most three entries, and names only tests that exist."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parents[1]
MAX_KNOWN_RED = 3


def test_the_list_is_short_and_names_tests_that_exist() -> None:
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    assert len(lines) <= MAX_KNOWN_RED
    for line in lines:
        test_id, separator, cause = line.partition(": ")
        path, _, function = test_id.partition("::")
        tree = ast.parse((ROOT / path).read_text())
        functions = [each for each in tree.body if isinstance(each, (ast.FunctionDef, ast.AsyncFunctionDef))]
        assert function in {each.name for each in functions}
        assert separator
        assert cause
