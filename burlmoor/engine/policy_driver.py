"""Batches events for the policy, runs its timers and returns its actions."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from burlmoor.log_events import PolicyFailed
from burlmoor.types.events import (
    EndpointListUpdate,
    HandoverChanged,
    HealthChecked,
    JobRequest,
    TimerFired,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.log import EventLogger
    from burlmoor.policy.dispatcher import Dispatcher
    from burlmoor.types.actions import Action
    from burlmoor.types.endpoint_list import EndpointEntry, ListKind
    from burlmoor.types.events import Event
    from burlmoor.types.outcome import Outcome


class PolicyDriver:
    """Calls the policy with batches of events; `wake` is called on the first event of each batch."""

    def __init__(
        self, policy: Dispatcher, jobs: JobRegistry, log: EventLogger, wake: Callable[[], None]
    ) -> None:
        self._policy = policy
        self._jobs = jobs
        self._log = log
        self._wake = wake
        self._events: list[Event] = []
        self._timers: list[tuple[float, int]] = []

    def on_endpoint_list(self, kind: ListKind, entries: Iterable[EndpointEntry]) -> None:
        """Pass an update of the endpoint list to the policy."""
        self.post(EndpointListUpdate(kind, list(entries)))

    def on_health_checked(self, endpoint: str, outcome: Outcome, elapsed_ms: float) -> None:
        """Pass the result of a health check to the policy."""
        self.post(HealthChecked(endpoint, outcome, elapsed_ms))

    def on_handover_changed(self, *, is_handed_over: bool) -> None:
        """Notify the policy whether another process admits this node's jobs in place of this one."""
        self.post(HandoverChanged(is_handed_over))

    def post(self, event: Event) -> None:
        """Add an event to the next batch."""
        if not self._events:
            self._wake()
        self._events.append(event)

    def has_events(self) -> bool:
        """Return whether events are pending for the next call of the policy."""
        return bool(self._events)

    def set_timer(self, at: float, token: int) -> None:
        """Set a timer: the first batch at or after `at` has a `TimerFired` event with this token."""
        heapq.heappush(self._timers, (at, token))

    def next_timer(self) -> float:
        """Return when the next timer fires; infinity if none is set."""
        return self._timers[0][0] if self._timers else math.inf

    def decide(self, now: float) -> Sequence[Action]:
        """Pass all pending events and expired timers to the policy, and return its actions."""
        while self._timers and self._timers[0][0] <= now:
            self._events.append(TimerFired(heapq.heappop(self._timers)[1]))
        events = [self._with_remaining_timeout(event, now) for event in self._events]
        self._events = []
        if not events:
            return ()
        try:
            return self._policy.handle(now, events)
        except Exception as error:  # noqa: BLE001
            # An error in the policy must not end the node; the engine still answers the jobs at their
            # deadlines.
            self._log(PolicyFailed(error=repr(error)))
            return ()

    def _with_remaining_timeout(self, event: Event, now: float) -> Event:
        """Subtract the time since a job's receipt or release from its timeout; return other events unchanged.

        The policy would otherwise assume that more time is left than there is, and its rejection, which has a
        Retry-After, would come after the job's deadline.
        """
        if not isinstance(event, JobRequest):
            return event
        job = self._jobs.find_by_number(event.id)
        if job is None:
            return event
        return event._replace(timeout_ms=max(0.0, event.timeout_ms - (now - job.passed_to_policy_at)))
