"""A snapshot of the deferred jobs for operators, which readers can iterate while the queue changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from immutables import Map

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class DeferredJobStatus(NamedTuple):
    """The status of one deferred job, as shown to operators."""

    job_class: str
    reason: str  # a value of `DeferralReason`
    deferred_at: float  # ms on the engine's clock
    size_bytes: int


class StatusSnapshot:
    """An immutable map of statuses that is replaced atomically; readers keep the version that they hold."""

    def __init__(self) -> None:
        self.by_id: Map[str, DeferredJobStatus] = Map()
        self._changed_ids: dict[str, None] = {}  # an ordered set

    def mark_changed(self, request_ids: Iterable[str]) -> None:
        """Record that the status of these jobs may have changed."""
        self._changed_ids.update(dict.fromkeys(request_ids))

    def refresh(self, find_status: Callable[[str], DeferredJobStatus | None]) -> None:
        """Update the changed jobs and replace the map; `find_status` returns None for a job to remove."""
        if not self._changed_ids:
            return
        with self.by_id.mutate() as statuses:
            for request_id in self._changed_ids:
                status = find_status(request_id)
                if status is not None:
                    statuses[request_id] = status
                else:
                    statuses.pop(request_id, None)
            self.by_id = statuses.finish()
        self._changed_ids.clear()
