"""The page on races names only tests that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "races.md").read_text()
TEST_NAMES = {
    name
    for source in (ROOT / "tests").rglob("test_*.py")
    for name in re.findall(r"^(?:async )?def test_(\w+)", source.read_text(), re.MULTILINE)
}


def named_tests() -> list[str]:
    """The tests in the last column of the page's tables."""
    rows = [row for row in PAGE.splitlines() if row.startswith("| ")]
    return sorted({name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[4])})


def test_the_page_names_tests() -> None:
    assert len(named_tests()) > 30


@pytest.mark.parametrize("name", named_tests())
def test_a_named_test_exists(name: str) -> None:
    assert name in TEST_NAMES
