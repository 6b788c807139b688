"""Remembers the request ids of jobs that may have run, for some time after the jobs have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

RETENTION_MS = 60_000.0  # longer than the deadlines of all classes
MAX_IDS = 1 << 16


class RecentIds:
    """Holds each id for `RETENTION_MS`; of more than `MAX_IDS` ids the oldest are forgotten.

    `clock` returns ms.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._expires_at: dict[str, float] = {}  # the earliest first

    def __contains__(self, request_id: object) -> bool:
        self._remove_expired()
        return request_id in self._expires_at

    def __len__(self) -> int:
        self._remove_expired()
        return len(self._expires_at)

    def add(self, request_id: str) -> None:
        """Remember an id from now on; one that is remembered already is remembered for longer."""
        self._remove_expired()
        self._expires_at.pop(request_id, None)
        self._expires_at[request_id] = self._clock() + RETENTION_MS
        if len(self._expires_at) > MAX_IDS:
            del self._expires_at[next(iter(self._expires_at))]

    def ids(self) -> list[str]:
        """Return all ids, those that expire first in front."""
        self._remove_expired()
        return list(self._expires_at)

    def _remove_expired(self) -> None:
        now = self._clock()
        while self._expires_at:
            request_id, expires_at = next(iter(self._expires_at.items()))
            if expires_at > now:
                return
            del self._expires_at[request_id]
