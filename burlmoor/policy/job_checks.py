"""Schedules the checks of jobs and their attempts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.policy.model.attempt import ScheduledAttempt
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.statistics.start_delay_statistics import StartDelayStatistics
    from burlmoor.policy.timer_queue import TimerQueue
    from burlmoor.types.settings import Settings

MAX_SILENT_INTERVALS = 1.5  # progress intervals without a report after which an attempt is assumed to hang


class JobChecks:
    """Schedules checks of jobs for the times by which their attempts should have reported."""

    def __init__(self, settings: Settings, start_delays: StartDelayStatistics, timers: TimerQueue) -> None:
        interval_ms = settings.progress_interval_ms
        self._max_silence_ms = MAX_SILENT_INTERVALS * interval_ms if interval_ms > 0 else math.inf
        self._tick_ms = settings.tick_ms
        self._endpoints_report_start = settings.reports_start
        self._start_delays = start_delays
        self._timers = timers

    def first_check_at(self, endpoint: Endpoint, now: float) -> float:
        """Return when an attempt that is sent now is checked for the first time."""
        if self._endpoints_report_start:
            return now + self._start_delays.start_grace(endpoint.zone)
        return now + self._max_silence_ms

    def postpone(self, attempt: ScheduledAttempt, now: float) -> None:
        """Postpone the attempt's check, after a report or a check."""
        attempt.check_at = now + self._max_silence_ms

    @staticmethod
    def check_no_later_than(attempt: ScheduledAttempt, at: float) -> None:
        """Check the attempt at this time at the latest."""
        attempt.check_at = min(attempt.check_at, at)

    def schedule_first(self, job: ScheduledJob) -> None:
        """Schedule the check of a newly admitted job, shortly before its deadline."""
        self._timers.schedule_check(job, job.deadline_at - self._tick_ms)

    def schedule_next(self, job: ScheduledJob, now: float) -> None:
        """Schedule the next check of a job whose attempts are pending."""
        check_times = [attempt.check_at for attempt in job.pending_attempts() if not attempt.is_cancelling]
        check_times.append(job.deadline_at - self._tick_ms)
        if now < job.useful_until:
            check_times.append(job.useful_until)
        self._timers.schedule_check(job, max(min(check_times), now + self._tick_ms))
