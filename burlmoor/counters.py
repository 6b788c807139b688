"""Counts of what happens to jobs, attempts and connections, by reason.

The log is rate-limited and drops lines; the counts are complete.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum


class CounterGroup(Enum):
    """A group of counts; the value is its name in the log."""

    JOBS = "jobs"  # by answer and reason
    RETRIES = "retries"  # attempts after the first, by the outcome of the previous attempt
    CANCELS = "cancels"  # attempts that the node cancelled, by reason
    CLIENT_CLOSES = "client-closes"  # connections of clients and call-backs, by reason
    ENDPOINT_CLOSES = "endpoint-closes"  # connections to endpoints, by reason


Counts = dict[str, dict[str, int]]


class EventCounters:
    """Counts the events of one process, in total and since the counts were last taken."""

    def __init__(self) -> None:
        self._totals: dict[CounterGroup, Counter[str]] = {group: Counter() for group in CounterGroup}
        self._taken: dict[CounterGroup, Counter[str]] = {group: Counter() for group in CounterGroup}

    def count(self, group: CounterGroup, reason: str) -> None:
        """Count one event."""
        self._totals[group][reason] += 1

    def totals(self) -> Counts:
        """Return all counts by group and reason; empty groups are omitted."""
        return {group.value: dict(counts) for group, counts in self._totals.items() if counts}

    def take_changes(self) -> Counts:
        """Return the counts since the last call, in the form of `totals`."""
        changes = {
            group.value: dict(counts - self._taken[group])
            for group, counts in self._totals.items()
            if counts != self._taken[group]
        }
        self._taken = {group: counts.copy() for group, counts in self._totals.items()}
        return changes
