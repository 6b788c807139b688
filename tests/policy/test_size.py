"""Limits on the size of the policy's modules: each has one job and is read in one sitting.

The policy as a whole has no limit: the operators have lifted it.
"""

import ast
from pathlib import Path

import pytest

POLICY = Path(__file__).parents[2] / "burlmoor" / "policy"
SOURCES = sorted(POLICY.rglob("*.py"))
MAX_LINES = 150  # that are not blank
MAX_COLUMNS = 110


@pytest.mark.parametrize("source", SOURCES, ids=lambda source: str(source.relative_to(POLICY)))
def test_a_module_of_the_policy_is_short_and_says_what_it_is_for(source: Path) -> None:
    text = source.read_text()
    lines = text.splitlines()
    assert sum(bool(line.strip()) for line in lines) <= MAX_LINES
    assert max(map(len, lines)) <= MAX_COLUMNS
    assert ast.get_docstring(ast.parse(text))


def test_the_dispatcher_names_its_types_in_its_first_lines() -> None:
    assert "burlmoor/types" in "\n".join((POLICY / "dispatcher.py").read_text().splitlines()[:8])
