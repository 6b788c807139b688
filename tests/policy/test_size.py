"""Limits on the size of the policy: it must stay readable in a first day."""

from pathlib import Path

POLICY = Path(__file__).parents[2] / "burlmoor" / "policy"
SOURCES = sorted(POLICY.glob("*.py"))


def test_the_policy_stays_within_its_line_limit() -> None:
    lines = [line for source in SOURCES for line in source.read_text().splitlines()]
    assert 300 <= sum(bool(line.strip()) for line in lines) <= 750
    assert max(map(len, lines)) <= 110


def test_the_dispatcher_names_its_types_in_its_first_lines() -> None:
    assert "burlmoor/types" in "\n".join((POLICY / "dispatcher.py").read_text().splitlines()[:8])
