"""The version history of the endpoint list that a stand-in discovery service serves."""

from __future__ import annotations

from bisect import bisect
from typing import NamedTuple, TypedDict, Unpack

import msgspec

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.messages import EndpointEntry, EndpointHealth


class EntryFields(TypedDict, total=False):
    """The fields of an entry that a change may set; `health` is a value of the protocol."""

    zone: str
    health: str
    weight: float
    started_unix_ms: float


class Change(NamedTuple):
    """One version of the list: the changed entry, and the time of the change."""

    at_ms: float
    entry: EndpointEntry


class EndpointHistory:
    """The endpoint list with all its versions, one for each change."""

    def __init__(self) -> None:
        self._changes: list[Change] = []

    @property
    def version(self) -> int:
        """The current version."""
        return len(self._changes)

    def change_entry(self, endpoint: str, **fields: Unpack[EntryFields]) -> Change:
        """Add an endpoint or change fields of its entry.

        Raises:
            ValueError: the health is not one of the protocol.
        """
        known = (change.entry for change in reversed(self._changes) if change.entry.name == endpoint)
        entry = next(known, EndpointEntry(endpoint))
        health = EndpointHealth(fields.get("health", entry.health))
        change = Change(now_ms(), msgspec.structs.replace(entry, **{**fields, "health": health}))
        self._changes.append(change)
        return change

    def version_at(self, at_ms: float) -> int:
        """Return the version that was current at a time."""
        return bisect(self._changes, at_ms, key=lambda change: change.at_ms)

    def find_changed(self, after_version: int, until_version: int | None = None) -> list[EndpointEntry]:
        """Return the entries that changed after a version, as of `until_version` or else the current one."""
        changes = self._changes[after_version:until_version]
        return list({change.entry.name: change.entry for change in changes}.values())
