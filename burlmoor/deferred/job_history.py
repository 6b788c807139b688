"""The outcomes of jobs that ended recently."""

from __future__ import annotations

from collections import OrderedDict


class JobHistory:
    """Records whether ended jobs were served, for a bounded time and number of jobs; times are in ms."""

    def __init__(self) -> None:
        self._ended: OrderedDict[str, tuple[float, bool]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ended)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ended

    def record(self, request_id: str, now: float, *, was_served: bool) -> None:
        """Record how a job ended, replacing an earlier record of the same id."""
        self._ended[request_id] = (now, was_served)
        self._ended.move_to_end(request_id)

    def discard(self, request_id: str) -> None:
        """Remove a job whose id is open again."""
        self._ended.pop(request_id, None)

    def was_served(self, request_id: str) -> bool:
        """Return whether this job is known to have been served."""
        return self._ended.get(request_id, (0.0, False))[1]

    def trim(self, now: float, max_age_ms: float, max_count: int) -> None:
        """Remove jobs that ended more than `max_age_ms` ago, and the oldest beyond `max_count`."""
        cutoff = now - max_age_ms
        while self._ended:
            request_id, (ended_at, _) = next(iter(self._ended.items()))
            if ended_at > cutoff and len(self._ended) <= max_count:
                return
            del self._ended[request_id]
