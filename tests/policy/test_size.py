"""Limits on the size of the policy's modules: each has one job and is read at one go.

The policy as a whole has no limit: the operators have lifted it.
"""

import ast
from pathlib import Path

import pytest

POLICY = Path(__file__).parents[2] / "burlmoor" / "policy"
SOURCES = sorted(POLICY.glob("*.py"))


@pytest.mark.parametrize("source", SOURCES, ids=lambda source: source.name)
def test_a_module_of_the_policy_is_short_and_says_what_it_is_for(source: Path) -> None:
    text = source.read_text()
    lines = text.splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 150
    assert max(map(len, lines)) <= 110
    assert ast.get_docstring(ast.parse(text))


def test_the_dispatcher_names_its_types_in_its_first_lines() -> None:
    assert "burlmoor/types" in "\n".join((POLICY / "dispatcher.py").read_text().splitlines()[:8])
