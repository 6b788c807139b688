"""Size limits of the policy's modules, which keep each one focused and readable in one sitting.

The size of the policy as a whole is not limited, since the operators have lifted that limit.
"""

import ast
from pathlib import Path

import pytest

POLICY = Path(__file__).parents[2] / "burlmoor" / "policy"
SOURCES = sorted(POLICY.rglob("*.py"))
MAX_LINES = 150  # not counting blank lines
MAX_COLUMNS = 110


@pytest.mark.parametrize("source", SOURCES, ids=lambda source: str(source.relative_to(POLICY)))
def test_each_policy_module_is_short_and_has_a_docstring(source: Path) -> None:
    text = source.read_text()
    lines = text.splitlines()
    assert sum(bool(line.strip()) for line in lines) <= MAX_LINES
    assert max(map(len, lines)) <= MAX_COLUMNS
    assert ast.get_docstring(ast.parse(text))


def test_the_dispatcher_docstring_refers_to_the_types() -> None:
    assert "burlmoor/types" in "\n".join((POLICY / "dispatcher.py").read_text().splitlines()[:8])
