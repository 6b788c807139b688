"""The on-call page lists every log event, with each of its fields."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec.structs
import pytest

from burlmoor.log_events import LogEvent

PAGE = (Path(__file__).parents[1] / "docs" / "on-call.md").read_text()
EVENT_TABLE = PAGE[PAGE.index("## Log events") : PAGE.index("Warnings of the policy")]
EVENT_TYPES = LogEvent.__subclasses__()
# Fields that need no explanation beyond that of the event.
SELF_EXPLANATORY_FIELDS = {
    "address", "after_ms", "attempt", "attempts", "count", "error", "events", "failures", "id", "job_class",
    "path", "status", "version",
}  # fmt: skip
DEFERRED_JOBS_PAGE = "waiting.md"


def words_in_code_style(text: str) -> set[str]:
    return set(re.findall(r"`([\w-]+)`", text))


def rows_by_event() -> dict[str, str]:
    rows = [row for row in EVENT_TABLE.splitlines() if row.startswith("| `")]
    return {name: row for row in rows for name in words_in_code_style(row.split("|")[1])}


def test_the_page_lists_exactly_the_events_that_are_logged() -> None:
    assert set(rows_by_event()) == {event_type.event_name() for event_type in EVENT_TYPES}


@pytest.mark.parametrize("event_type", EVENT_TYPES, ids=lambda event_type: event_type.event_name())
def test_the_page_explains_the_fields_of_each_event(event_type: type[LogEvent]) -> None:
    row = rows_by_event()[event_type.event_name()]
    fields = {field.encode_name for field in msgspec.structs.fields(event_type)}
    if DEFERRED_JOBS_PAGE not in row:
        assert fields - SELF_EXPLANATORY_FIELDS <= words_in_code_style(row)
