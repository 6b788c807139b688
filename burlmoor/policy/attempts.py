"""Sending attempts, and the moments at which a job with attempts is checked."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.policy.model.job import ScheduledAttempt, ScheduledJob

if TYPE_CHECKING:
    from burlmoor.policy.context import PolicyContext
    from burlmoor.policy.endpoint_scoring import Selection

MAX_SILENT_INTERVALS = 1.5  # an attempt silent for this many progress intervals is taken to hang
# The token bucket for redistributing jobs that have not started: its size, and tokens added by each send.
MAX_REDISTRIBUTION_TOKENS, TOKENS_PER_SEND = 3.0, 0.03


class AttemptSender:
    """Sends attempts, schedules checks of jobs, and keeps the redistribution budget (a token bucket)."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self._settings = context.settings
        self._measured = context.statistics.endpoints
        interval_ms = context.settings.progress_interval_ms
        self.max_silence_ms = MAX_SILENT_INTERVALS * interval_ms if interval_ms > 0 else math.inf
        self.redistribution_tokens = MAX_REDISTRIBUTION_TOKENS

    def send(self, job: ScheduledJob, selection: Selection, now: float) -> None:
        """Send the job to the endpoint selected."""
        endpoint = selection.endpoint
        endpoint.first_sent_at = min(endpoint.first_sent_at, now)
        self._measured.record_weight_rate(endpoint, selection.weight_rate, now)
        attempt = ScheduledAttempt(
            number=len(job.attempts),
            endpoint=endpoint,
            sent_at=now,
            expected_ms=selection.expected_ms,
            is_cache_miss=selection.is_cache_miss,
            check_at=now + self.max_silence_ms,
        )
        if self._settings.reports_start:
            attempt.check_at = now + self._measured.start_grace(endpoint.zone)
        else:
            attempt.started_at = now
        self._context.safety.send(job, attempt)
        self._context.endpoints.acquire(endpoint, job, now)
        tokens = self.redistribution_tokens + TOKENS_PER_SEND
        self.redistribution_tokens = min(MAX_REDISTRIBUTION_TOKENS, tokens)
        self.schedule_next_check(job, now)

    def schedule_next_check(self, job: ScheduledJob, now: float) -> None:
        """Schedule the next check of a job whose attempts are pending."""
        tick_ms = self._settings.tick_ms
        moments = [attempt.check_at for attempt in job.pending_attempts() if not attempt.is_cancelling]
        moments.append(job.deadline_at - tick_ms)
        if now < job.useful_until:
            moments.append(job.useful_until)
        self._context.timers.schedule_check(job, max(min(moments), now + tick_ms))
