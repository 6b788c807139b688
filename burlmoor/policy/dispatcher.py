"""The entry of the policy: takes the events of one moment and returns the actions decided on.

Events and actions are in `burlmoor/types`; the design is in `docs/design.md`. A job is admitted (admission),
waits in the queue until a round (dispatch_rounds) finds it an endpoint (endpoint_selection) or sheds it
(load_shedding), and is sent (attempts). Late, silent and failed attempts are handled in retries; every send,
final answer and cancel has to keep the rules in safety. `Dispatcher.handle` is the only entry.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from burlmoor.policy.admission import Admission
from burlmoor.policy.attempts import AttemptSender
from burlmoor.policy.context import PolicyContext
from burlmoor.policy.dispatch_rounds import DispatchRounds
from burlmoor.policy.endpoints.outcomes import OutcomeRecorder
from burlmoor.policy.retries import RetryPolicy
from burlmoor.types import events as ev
from burlmoor.types.actions import Action, SetTimer, WatchEndpoints
from burlmoor.types.endpoint_list import ListKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.types.settings import Settings


class Dispatcher:
    """The policy of one node. `handle` takes the events of one moment and returns the actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.context = context = PolicyContext(settings, seed)
        self.statistics = context.statistics
        self.endpoints = context.endpoints
        self._admission = Admission(context)
        sender = AttemptSender(context)
        self.rounds = DispatchRounds(context, sender)
        self._retries = RetryPolicy(context, self.rounds, sender)
        self._outcomes = OutcomeRecorder(context.statistics, context.endpoints)
        self._max_silence_ms = sender.max_silence_ms
        self._timer_at = math.inf
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            ev.EndpointListUpdate: self._on_endpoint_list,
            ev.JobRequest: self._on_job_request,
            ev.AttemptStarted: self._on_attempt_started,
            ev.AttemptProgressed: self._on_attempt_progressed,
            ev.ResponseStarted: self._on_response_started,
            ev.AttemptCancelling: self._on_attempt_cancelling,
            ev.AttemptEnded: self._on_attempt_ended,
            ev.ClientDisconnected: self._on_client_disconnected,
            ev.HandoverChanged: self._on_handover_changed,
        }

    def handle(self, now: float, events: Iterable[ev.Event]) -> list[Action]:
        """Take in what happened at `now` and decide."""
        self.context.actions.clear()
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event, now)
        self._run_due(now)
        self._set_timer(now)
        return list(self.context.actions)

    def _run_due(self, now: float) -> None:
        if self._timer_at <= now:
            self._timer_at = math.inf
        while self.context.timers.next_at() <= now:
            at, job = self.context.timers.pop()
            if job is None:
                self.context.actions.append(WatchEndpoints())
            elif at == job.check_at:  # else another check has replaced this one
                self._retries.check(job, now)
        if self.rounds.next_round_at <= now:
            self.rounds.run(now)

    def _set_timer(self, now: float) -> None:
        wake_at = min(self.rounds.next_round_at, self.context.timers.next_at())
        if wake_at < self._timer_at:
            self._timer_at = wake_at
            self.context.actions.append(SetTimer(max(wake_at - now, 0.0), 0))

    def _on_endpoint_list(self, event: ev.EndpointListUpdate, now: float) -> None:
        has_failed = event.kind is ListKind.FAILED
        if self.context.settings.must_poll and (has_failed or event.kind is ListKind.CACHED):
            self.context.timers.schedule(now + self.endpoints.next_poll_delay_ms(has_failed), None)
        if not has_failed:
            self.endpoints.update(event)

    def _on_handover_changed(self, event: ev.HandoverChanged, _now: float) -> None:
        self.endpoints.slow_start.is_handed_over = event.is_handed_over

    def _on_job_request(self, event: ev.JobRequest, now: float) -> None:
        job = self._admission.admit(event, now)
        self.context.jobs.by_id[job.id] = job
        self.context.timers.schedule_check(job, job.deadline_at - self.context.settings.tick_ms)
        self.rounds.enqueue(job, now)

    def _on_attempt_started(self, event: ev.AttemptStarted, now: float) -> None:
        found = self.context.jobs.find_attempt(event.id, event.attempt)
        if found is None:
            return
        job, attempt = found
        attempt.check_at = now + self._max_silence_ms
        self._outcomes.record_start(attempt, now)
        if not job.is_closed:
            job.is_queued = False
            self.context.safety.cancel_others(job, attempt)

    def _on_attempt_progressed(self, event: ev.AttemptProgressed, now: float) -> None:
        found = self.context.jobs.find_attempt(event.id, event.attempt)
        if found is not None:
            job, attempt = found
            attempt.check_at = now + self._max_silence_ms
            self._outcomes.record_progress(job, attempt, event.fraction, now)

    def _on_attempt_cancelling(self, event: ev.AttemptCancelling, now: float) -> None:
        found = self.context.jobs.find_attempt(event.id, event.attempt)
        if found is not None:
            job, attempt = found
            attempt.is_cancelling = True
            self._outcomes.record_fault(attempt, event.outcome, now)
            self._retries.on_cancelling(job, event.outcome, now)

    def _on_attempt_ended(self, event: ev.AttemptEnded, now: float) -> None:
        found = self.context.jobs.find_attempt(event.id, event.attempt)
        if found is None:
            return
        job, attempt = found
        attempt.outcome = event.outcome
        self._outcomes.record_end(job, attempt, event.elapsed_ms, now)
        self.endpoints.release(attempt.endpoint, job)
        if event.is_job_closed:
            self.context.safety.close(job)
        elif not job.is_closed:
            self._retries.retry_or_abandon(job, now)
        self.context.jobs.forget_if_over(job)

    def _on_response_started(self, event: ev.ResponseStarted, _now: float) -> None:
        if event.id in self.context.jobs.by_id:
            self.context.jobs.by_id[event.id].is_streaming = True

    def _on_client_disconnected(self, event: ev.ClientDisconnected, _now: float) -> None:
        job = self.context.jobs.by_id.get(event.id)
        if job is not None:
            self.context.safety.close(job)
            self.context.jobs.forget_if_over(job)
