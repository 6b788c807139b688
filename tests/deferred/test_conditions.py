"""Parsing of the two headers that defer a job, and rejection of invalid values."""

from __future__ import annotations

import pytest

from burlmoor.deferred import ConditionParser
from burlmoor.engine.deferral import InvalidConditionError, RunConditions


@pytest.mark.parametrize(
    ("headers", "problem"),
    [
        ([(b"run-after", b"")], "names no job"),
        ([(b"run-after", b" , ,")], "names no job"),
        ([(b"run-after", b"a b")], "not a list"),
        ([(b"run-after", b"a,b/c")], "not a list"),
        ([(b"run-after", b"a" * 65)], "not a list"),
        ([(b"run-after", b"\xff")], "not a list"),
        ([(b"run-after", b"me")], "itself"),
        ([(b"run-after", b",".join(b"n%d" % n for n in range(9)))], "over 8"),
        ([(b"not-before", b"soon")], "not a Unix time"),
        ([(b"not-before", b"-5")], "not a Unix time"),
        ([(b"not-before", b"1e9")], "not a Unix time"),
        ([(b"not-before", b"")], "not a Unix time"),
        ([(b"not-before", b"9" * 16)], "not a Unix time"),
        ([(b"not-before", b"5"), (b"not-before", b"6")], "twice"),
    ],
)
def test_an_invalid_header_is_rejected_with_its_problem(
    headers: list[tuple[bytes, bytes]], problem: str
) -> None:
    with pytest.raises(InvalidConditionError, match=problem):
        ConditionParser(8).parse(headers, "me", 0)


def test_conditions_are_parsed_as_header_lists() -> None:
    parse = ConditionParser(8).parse
    assert parse([(b"host", b"x")], "me", 5) is None
    headers = [(b"run-after", b"a, b,,a"), (b"x", b"y"), (b"run-after", b"c\t"), (b"not-before", b"12")]
    assert parse(headers, "me", 5) == RunConditions(("a", "b", "c"), 12.0, 5)
    assert parse([(b"not-before", b"0")], "me", 5) == RunConditions((), 0.0, 5)
    ids = b",".join(b"n%d" % (n % 8) for n in range(1000))
    assert len(parse([(b"run-after", ids)], "me", 5).after) == 8  # type: ignore[union-attr]
