"""How fast what is free to run is let go: a herd must not fall on the executors at once. No I/O, no clock.

A job is released while executors are known to have room, and else by a token bucket: so a herd that meets
idle executors fills them and no more, and under full load what has waited is still let go at a steady rate.
"""

from __future__ import annotations

import heapq
import math
from typing import Generic, TypeVar

_T = TypeVar("_T")


_LEAST, _MORE, _LESS = 0.1, 0.02, 0.8  # of the full rate at least, more by each served, less by each refused


class Bucket:
    """Owns tokens that fill at `rate` a second up to `burst`.

    The rate goes up evenly with each released job that was served and down by a share with each that was
    refused (additive increase, multiplicative decrease: Chiu and Jain, 1989), between a tenth of the full
    rate and all of it.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._full, self.rate, self.burst = rate, rate, burst
        self._tokens, self._at = burst, now

    def _fill(self, now: float) -> None:
        self._tokens = min(self.burst, self._tokens + max(0.0, now - self._at) * self.rate / 1000.0)
        self._at = max(self._at, now)

    def take(self, now: float) -> bool:
        """Use a token, if there is one."""
        self._fill(now)
        # What rounding leaves under a whole token must not cost a turn.
        if self._tokens < 1.0 - 1e-6:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def learn(self, served: bool, now: float) -> None:
        """A released job was served, or refused."""
        self._fill(now)
        rate = self.rate + _MORE * self._full if served else self.rate * _LESS
        self.rate = max(_LEAST * self._full, min(self._full, rate))
        if not served:
            self._tokens = min(self._tokens, 1.0)  # no burst right after a refusal

    def due(self, now: float) -> float:
        """When there is a token."""
        self._fill(now)
        return now + max(0.0, 1.0 - self._tokens) * 1000.0 / self.rate


_FIRST, _SMALLEST, _LARGEST, _CUT_EVERY = 8.0, 2.0, 10_000.0, 200.0


class Window:
    """Owns how many released jobs may be out at once where there seems to be room.

    What a node takes for room is shared with other nodes and may be old, so a herd feels its way: one
    more with each served until the first refusal, then one more a window, and half as many after a refusal
    (RFC 5681, sections 3.1 and 3.2, with jobs for segments). Refusals within 200 ms count once.
    """

    def __init__(self) -> None:
        self.size, self._threshold, self._cut = _FIRST, math.inf, -math.inf

    def learn(self, served: bool, now: float) -> None:
        """A released job was served, or refused."""
        if served:
            step = 1.0 if self.size < self._threshold else 1.0 / self.size
            self.size = min(_LARGEST, self.size + step)
        elif now >= self._cut + _CUT_EVERY:
            self.size = self._threshold = max(_SMALLEST, 0.5 * self.size)
            self._cut = now


class Line(Generic[_T]):
    """Owns what is free to run, the one that has to go soonest first."""

    def __init__(self, bucket: Bucket) -> None:
        self.bucket = bucket
        self._heap: list[tuple[float, int, float, _T]] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def put(self, latest: float, slots: float, thing: _T) -> None:
        """A thing that may go, at the latest at that time, and how much room it takes."""
        self._number += 1
        heapq.heappush(self._heap, (latest, self._number, slots, thing))

    def next(self, now: float, room: float) -> tuple[_T, float] | None:
        """One that goes now, and the slots that it takes; None where all have to wait."""
        if not self._heap:
            return None
        _, _, slots, thing = self._heap[0]
        if room < slots and not self.bucket.take(now):
            return None
        heapq.heappop(self._heap)
        return thing, slots

    def skip(self) -> None:
        """Drop the first: it waits no more."""
        heapq.heappop(self._heap)

    def first(self) -> _T | None:
        """The one that goes next."""
        return self._heap[0][3] if self._heap else None

    def due(self, now: float) -> float:
        """When a token lets the next go."""
        return self.bucket.due(now) if self._heap else math.inf
