"""Rate control for the release of runnable jobs, which protects executors from overload. No I/O, no clock.

Jobs are released to known free slots of endpoints within a congestion window, and otherwise by a token
bucket. So a thundering herd only fills idle endpoints, and under full load deferred jobs are still released
at a steady rate.
"""

from __future__ import annotations

import math

_MIN_RATE_FRACTION = 0.1  # of the full rate
_RATE_INCREASE_FRACTION = 0.02  # of the full rate, added for each job served
_RATE_DECREASE_FACTOR = 0.8  # for each job rejected
_ROUNDING_TOLERANCE = 1e-6  # tokens

_INITIAL_WINDOW = 8.0
_MIN_WINDOW = 2.0
_MAX_WINDOW = 10_000.0
_WINDOW_DECREASE_FACTOR = 0.5
_MIN_DECREASE_INTERVAL_MS = 200.0


class AdaptiveTokenBucket:
    """A token bucket that fills at `rate` a second up to `burst`, and adapts its rate to final answers.

    The rate increases by a constant with each released job that was served and decreases by a factor with
    each that was rejected (additive increase, multiplicative decrease: Chiu and Jain, 1989), between a tenth
    of the full rate and the full rate. Times are in ms.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._full_rate = rate
        self._tokens = burst
        self._refilled_at = now

    def take_token(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        self._refill(now)
        # The tolerance accepts one token less a rounding error, which would otherwise delay a release.
        if self._tokens < 1.0 - _ROUNDING_TOLERANCE:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def adjust_rate(self, now: float, *, was_served: bool) -> None:
        """Adjust the rate after a released job was served or rejected."""
        self._refill(now)
        if was_served:
            rate = self.rate + _RATE_INCREASE_FRACTION * self._full_rate
        else:
            rate = self.rate * _RATE_DECREASE_FACTOR
        self.rate = max(_MIN_RATE_FRACTION * self._full_rate, min(self._full_rate, rate))
        if not was_served:
            self._tokens = min(self._tokens, 1.0)  # no burst right after a rejection

    def next_token_at(self, now: float) -> float:
        """Return when the next token is available."""
        self._refill(now)
        return now + max(0.0, 1.0 - self._tokens) * 1000.0 / self.rate

    def _refill(self, now: float) -> None:
        elapsed_ms = max(0.0, now - self._refilled_at)
        self._tokens = min(self.burst, self._tokens + elapsed_ms * self.rate / 1000.0)
        self._refilled_at = max(self._refilled_at, now)


class CongestionWindow:
    """Limits how many released jobs may be open while endpoints seem to have free slots.

    Free slots are shared with other nodes, and a node's view of them may be out of date. So the window grows
    by one with each job served until the first rejection, then by one a window, and halves after a rejection
    (RFC 5681, sections 3.1 and 3.2, with jobs for segments). Rejections within 200 ms halve it only once.
    """

    def __init__(self) -> None:
        self.size = _INITIAL_WINDOW
        self._slow_start_threshold = math.inf
        self._decreased_at = -math.inf

    def adjust_size(self, now: float, *, was_served: bool) -> None:
        """Adjust the window after a released job was served or rejected."""
        if was_served:
            increase = 1.0 if self.size < self._slow_start_threshold else 1.0 / self.size
            self.size = min(_MAX_WINDOW, self.size + increase)
        elif now >= self._decreased_at + _MIN_DECREASE_INTERVAL_MS:
            self.size = max(_MIN_WINDOW, _WINDOW_DECREASE_FACTOR * self.size)
            self._slow_start_threshold = self.size
            self._decreased_at = now
