"""Checks that the pages for developers name only tests, modules, classes and members that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "burlmoor"
RACES_PAGE = ROOT / "docs" / "races.md"
PAGES = ("architecture.md", "design.md", "on-call.md", "races.md", "watch-design.md")
TEST_NAMES = {
    name
    for source in (ROOT / "tests").rglob("test_*.py")
    for name in re.findall(r"^(?:async )?def test_(\w+)", source.read_text(), re.MULTILINE)
}


def members_by_class() -> dict[str, set[str]]:
    """Return the names that each class of the package defines or assigns."""
    found: dict[str, set[str]] = {}
    for source in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(source.read_text())):
            if isinstance(node, ast.ClassDef):
                found.setdefault(node.name, set()).update(members_of(node))
    return found


def members_of(node: ast.ClassDef) -> set[str]:
    names: set[str] = set()
    for inner in ast.walk(node):
        if isinstance(inner, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(inner.name)
        elif isinstance(inner, ast.Attribute) and isinstance(inner.ctx, ast.Store):
            names.add(inner.attr)
        elif isinstance(inner, ast.Name) and isinstance(inner.ctx, ast.Store):
            names.add(inner.id)
    return names


MEMBERS = members_by_class()


def words_in_code_style(page: str) -> list[str]:
    return sorted(set(re.findall(r"`([^`\n]+)`", (ROOT / "docs" / page).read_text())))


def names_on_races_page() -> list[str]:
    """Return the tests named in the last column of the page's tables."""
    rows = [row for row in RACES_PAGE.read_text().splitlines() if row.startswith("| ")]
    return sorted({name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[4])})


def test_the_races_page_names_tests() -> None:
    assert len(names_on_races_page()) > 30


@pytest.mark.parametrize("name", names_on_races_page())
def test_tests_on_the_races_page_exist(name: str) -> None:
    assert name in TEST_NAMES


@pytest.mark.parametrize("page", PAGES)
def test_modules_that_a_page_names_exist(page: str) -> None:
    modules = [word for word in words_in_code_style(page) if re.fullmatch(r"[\w/]+/\w+\.py", word)]
    missing = [
        module
        for module in modules
        if not any((base / module).exists() for base in (ROOT, PACKAGE, ROOT / "tests"))
    ]
    assert missing == []


@pytest.mark.parametrize("page", PAGES)
def test_classes_and_members_that_a_page_names_exist(page: str) -> None:
    missing = []
    for word in words_in_code_style(page):
        match = re.fullmatch(r"(?:[a-z_]+\.)*([A-Z]\w+[a-z]\w*)(?:\.(\w+))?", word)
        if match is None or ((class_name := match.group(1)) not in MEMBERS and not match.group(2)):
            continue
        member = match.group(2)
        if class_name in MEMBERS and (member is None or member in MEMBERS[class_name]):
            continue
        missing.append(word)
    assert missing == []
