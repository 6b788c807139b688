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
    # Connections that were due to be closed until input was found on them, by the reason for closing.
    PREVENTED_CLOSES = "prevented-closes"
    # Turns of connections that sent more than their allowance, and connections whose clients left before
    # their turn (`downstream/excess_input.py`).
    EXCESS_INPUT = "excess-input"
    # Connections that the node closed for its own reasons although their peers had closed them before.
    LATE_CLOSES = "late-closes"
    ENDPOINT_CLOSES = "endpoint-closes"  # connections to endpoints, by reason


CountsByGroup = dict[str, dict[str, int]]


class EventCounters:
    """Counts what happens in one process, in total and since the counts were last taken."""

    def __init__(self) -> None:
        self._totals: dict[CounterGroup, Counter[str]] = {group: Counter() for group in CounterGroup}
        self._last_taken: dict[CounterGroup, Counter[str]] = {group: Counter() for group in CounterGroup}

    def count(self, group: CounterGroup, reason: str) -> None:
        """Add one to the count of a reason."""
        self._totals[group][reason] += 1

    def totals(self) -> CountsByGroup:
        """Return all counts by group and reason; empty groups are omitted."""
        return {group.value: dict(counts) for group, counts in self._totals.items() if counts}

    def take_increments(self) -> CountsByGroup:
        """Return the counts since the last call, in the form of `totals`."""
        increments = {
            group.value: dict(counts - self._last_taken[group])
            for group, counts in self._totals.items()
            if counts != self._last_taken[group]
        }
        self._last_taken = {group: counts.copy() for group, counts in self._totals.items()}
        return increments
