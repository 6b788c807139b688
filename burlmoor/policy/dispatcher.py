"""The entry point of the policy: `Dispatcher` handles batches of events and returns the actions decided on.

Events and actions are in `burlmoor/types`; the design is in `docs/design.md`. A job is admitted (admission),
queued until a round (dispatch_rounds) selects an endpoint for it (endpoint_selection) or sheds it
(load_shedding), and sent (attempts). retries handles overdue, silent and failed attempts. safety enforces the
retry-safety rules on every send, final answer and cancellation. composition builds the components.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from burlmoor.policy.composition import PolicyComponents
from burlmoor.policy.statistics.snapshot import StatisticsSnapshot, restore_snapshot, take_snapshot
from burlmoor.types import events as ev
from burlmoor.types.actions import Action, SetTimer, WatchEndpoints
from burlmoor.types.endpoint_list import ListKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.types.settings import Settings

# The fraction of the warm capacity that deferred jobs may use; the rest is left for newly arriving jobs.
RELEASABLE_FRACTION = 0.8
TIMER_TOKEN = 0  # the same for all timers, since the time alone determines what is due


class Dispatcher:
    """The policy of one node. Times are in ms of the node's clock.

    Raises InvalidSettingError if the settings are invalid.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        components = PolicyComponents(settings, seed)
        self._must_poll = settings.pulls_endpoint_list
        self._actions = components.actions
        self._statistics = components.statistics
        self._endpoints = components.endpoints
        self._slow_start = components.slow_start
        self._load = components.load
        self._polls = components.polls
        self._timers = components.timers
        self._checks = components.checks
        self._jobs = components.jobs
        self._safety = components.safety
        self._admission = components.admission
        self._rounds = components.rounds
        self._retries = components.retries
        self._timer_at = math.inf
        # `Any`: each handler accepts only the type of event under which it is listed.
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            ev.EndpointListUpdate: self._on_endpoint_list,
            ev.JobRequest: self._on_job_request,
            ev.AttemptStarted: components.attempt_events.on_started,
            ev.AttemptProgressed: components.attempt_events.on_progressed,
            ev.ResponseStarted: components.attempt_events.on_response_started,
            ev.AttemptCancelling: components.attempt_events.on_cancelling,
            ev.AttemptEnded: components.attempt_events.on_ended,
            ev.JobClosed: self._on_job_closed,
            ev.HandoverChanged: self._on_handover_changed,
        }

    def handle(self, now: float, events: Iterable[ev.Event]) -> list[Action]:
        """Handle the events that arrived by `now`, run what is due, and return the resulting actions."""
        self._actions.start()
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event, now)
        self._run_due_work(now)
        self._set_timer(now)
        return self._actions.finish()

    def releasable_slots(self, now: float) -> float:
        """Return the number of slots that deferred jobs may use now.

        This is a fraction of the warm endpoints' capacity, less the slots that are in flight or queued. It is
        negative if these exceed that fraction.
        """
        capacity = RELEASABLE_FRACTION * self._load.warm_capacity(now)
        return capacity - self._load.slots_in_flight - self._rounds.queued_slots()

    def take_statistics_snapshot(self, now: float) -> StatisticsSnapshot:
        """Return a snapshot of the statistics for another process of this node."""
        return take_snapshot(self._statistics, self._endpoints.by_name, now)

    def restore_statistics_snapshot(self, snapshot: StatisticsSnapshot, now: float) -> None:
        """Restore another process's statistics, except for endpoints that are unknown here."""
        restore_snapshot(self._statistics, self._endpoints.by_name, snapshot, now)

    def _run_due_work(self, now: float) -> None:
        if self._timer_at <= now:
            self._timer_at = math.inf
        while self._timers.next_at() <= now:
            timer = self._timers.pop()
            if timer.job is None:
                self._actions.add(WatchEndpoints())
            elif timer.at == timer.job.check_at:  # otherwise the check was rescheduled
                self._retries.check(timer.job, now)
        if self._rounds.next_round_at <= now:
            self._rounds.run(now)

    def _set_timer(self, now: float) -> None:
        wake_at = min(self._rounds.next_round_at, self._timers.next_at())
        if wake_at < self._timer_at:
            self._timer_at = wake_at
            self._actions.add(SetTimer(max(wake_at - now, 0.0), TIMER_TOKEN))

    def _on_endpoint_list(self, event: ev.EndpointListUpdate, now: float) -> None:
        # A poll starts a watch, which then delivers the updates. Another poll is needed only after a failed
        # one, or if the list was read from the cache.
        has_failed = event.kind is ListKind.FAILED
        if self._must_poll and (has_failed or event.kind is ListKind.CACHED):
            self._timers.schedule_poll(now + self._polls.next_delay_ms(has_failed=has_failed))
        if not has_failed:
            self._polls.reset()
            self._endpoints.update(event)

    def _on_handover_changed(self, event: ev.HandoverChanged, _now: float) -> None:
        self._slow_start.set_handed_over(is_handed_over=event.is_handed_over)

    def _on_job_request(self, event: ev.JobRequest, now: float) -> None:
        job = self._admission.admit(event, now)
        self._jobs.add(job)
        self._checks.schedule_first(job)
        self._rounds.enqueue(job, now)

    def _on_job_closed(self, event: ev.JobClosed, _now: float) -> None:
        job = self._jobs.by_id.get(event.id)
        if job is not None:
            self._safety.close(job)
            self._jobs.forget_if_over(job)
