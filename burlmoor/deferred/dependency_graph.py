"""The dependency graph: a state machine that decides which deferred jobs may run and which never will.

A job is *open* from its admission until it ends; a deferred job is open too. For a limited time, the history
records whether an ended job was served. A deferred job is *runnable* once every job that it depends on was
served and its not-before time has passed; its deferral *ends* as soon as one of them ends in any other way.
In both cases the job is *decided* and is appended to a queue. `pop_decided` returns one of them at a time,
so a chain of any length is processed without recursion and in bounded steps.

No I/O, no clock: `now` is monotonic time in ms; `unix_now` is Unix time in ms, which may step.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from burlmoor.deferred.cycle_search import would_close_cycle
from burlmoor.deferred.deferred_job import DeferralReason, DeferredJob
from burlmoor.deferred.job_history import JobHistory
from burlmoor.deferred.timer_queue import TimerQueue

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class GraphLimits:
    """Limits on the size of a graph and on the age of its entries."""

    max_jobs: int  # deferred at the same time
    max_dependents: int  # deferred jobs that may depend on one job
    unknown_timeout_ms: float  # after which an unknown dependency ends the deferral
    history_ms: float  # how long the outcome of an ended job is remembered
    history_size: int  # how many ended jobs are remembered


class DependencyGraph:
    """Owns the deferred jobs, the ids of all open jobs, and the outcomes of those that ended recently."""

    def __init__(self, limits: GraphLimits) -> None:
        self.limits = limits
        self.jobs: dict[str, DeferredJob] = {}
        self._open_ids: set[str] = set()
        self._history = JobHistory()
        self._dependents: dict[str, dict[str, DeferredJob]] = {}
        self._not_before_timers: TimerQueue[DeferredJob] = TimerQueue()  # by Unix time
        self._unknown_timers: TimerQueue[DeferredJob] = TimerQueue()
        self._latest_release_timers: TimerQueue[DeferredJob] = TimerQueue()
        self._decided: deque[DeferredJob] = deque()  # in the order in which they were decided

    @property
    def history_length(self) -> int:
        """How many ended jobs are remembered."""
        return len(self._history)

    @property
    def has_not_before_timers(self) -> bool:
        """Whether any job is deferred until its not-before time."""
        return bool(self._not_before_timers)

    def dependents_of(self, request_id: str) -> list[str]:
        """Return the ids of the deferred jobs that depend on this one."""
        return list(self._dependents.get(request_id, ()))

    def on_job_admitted(self, request_id: str) -> None:
        """Record that the node has admitted a job, deferred or not."""
        self._open_ids.add(request_id)
        self._history.discard(request_id)
        for dependent in self._dependents.get(request_id, {}).values():
            dependent.unknown_dependencies.discard(request_id)

    def on_job_ended(self, request_id: str, now: float, *, was_served: bool) -> None:
        """Record that a job has ended: served or otherwise, including by its client's disconnect."""
        self._open_ids.discard(request_id)
        self.remove(request_id)
        self._history.record(request_id, now, was_served=was_served)
        self._trim_history(now)
        for dependent in self._dependents.pop(request_id, {}).values():
            if not was_served:
                self.end_deferral(dependent, DeferralReason.DEPENDENCY_FAILED)
                continue
            dependent.unmet_dependencies.discard(request_id)
            dependent.unknown_dependencies.discard(request_id)
            if dependent.is_runnable:
                self._decided.append(dependent)

    def add(
        self,
        request_id: str,
        after: Iterable[str],
        not_before_unix_ms: float,
        latest_release_at: float,
        now: float,
        unix_now: float,
    ) -> DeferredJob:
        """Defer a newly admitted job, which may become runnable or have its deferral ended immediately."""
        job = DeferredJob(request_id, now, latest_release_at, not_before_unix_ms)
        is_full = len(self.jobs) >= self.limits.max_jobs
        self.jobs[request_id] = job
        self._trim_history(now)
        dependencies = [dependency for dependency in after if not self._history.was_served(dependency)]
        if is_full or any(self._has_max_dependents(dependency) for dependency in dependencies):
            self.end_deferral(job, DeferralReason.CAPACITY_REACHED)
        elif any(dependency in self._history for dependency in dependencies):
            self.end_deferral(job, DeferralReason.DEPENDENCY_FAILED)
        elif latest_release_at <= now or not_before_unix_ms - unix_now > latest_release_at - now:
            self.end_deferral(job, DeferralReason.TOO_LATE)
        elif would_close_cycle(request_id, dependencies, self.jobs, self._dependents):
            self.end_deferral(job, DeferralReason.CYCLE)
        else:
            self._link(job, dependencies, now, unix_now)
        return job

    def remove(self, request_id: str) -> None:
        """Remove a job that is released or has ended; the jobs that depend on it remain."""
        job = self.jobs.pop(request_id, None)
        if job is None:
            return
        for queue, timer_id in job.timers:
            queue.cancel(timer_id)
        job.timers.clear()
        for dependency in job.unmet_dependencies:
            dependents = self._dependents.get(dependency)
            if dependents is not None:
                dependents.pop(request_id, None)
                if not dependents:
                    del self._dependents[dependency]

    def end_deferral(self, job: DeferredJob, reason: DeferralReason) -> None:
        """End a job's deferral without its release, unless it has ended already."""
        if job.end_reason is None:
            job.end_reason = reason
            self._decided.append(job)

    def end_all(self, reason: DeferralReason = DeferralReason.DRAINING) -> None:
        """End the deferral of all jobs."""
        for job in self.jobs.values():
            self.end_deferral(job, reason)

    def next_due(self, now: float, unix_now: float) -> float:
        """Return the time, on the clock of `now`, at which `pop_decided` has to be called next."""
        if self._decided:
            return now
        not_before_due = now + max(0.0, self._not_before_timers.next_due() - unix_now)
        return min(self._unknown_timers.next_due(), self._latest_release_timers.next_due(), not_before_due)

    def pop_decided(self, now: float, unix_now: float) -> DeferredJob | None:
        """Return the next decided job; None if there is none. The caller has to remove it from the graph."""
        self._expire_timers(now, unix_now)
        while self._decided:
            job = self._decided.popleft()
            if self.jobs.get(job.id) is job and job.is_decided:
                return job
        return None

    def _expire_timers(self, now: float, unix_now: float) -> None:
        while (job := self._not_before_timers.pop_due(unix_now)) is not None:
            job.is_not_before_reached = True
            if job.is_runnable:
                self._decided.append(job)
        while (job := self._unknown_timers.pop_due(now)) is not None:
            if job.unknown_dependencies:
                self.end_deferral(job, DeferralReason.DEPENDENCY_UNKNOWN)
        while (job := self._latest_release_timers.pop_due(now)) is not None:
            self.end_deferral(job, DeferralReason.TOO_LATE)

    def _link(self, job: DeferredJob, dependencies: list[str], now: float, unix_now: float) -> None:
        job.unmet_dependencies.update(dependencies)
        job.unknown_dependencies.update(
            dependency for dependency in dependencies if dependency not in self._open_ids
        )
        for dependency in dependencies:
            self._dependents.setdefault(dependency, {})[job.id] = job
        _set_timer(self._latest_release_timers, job.latest_release_at, job)
        if job.unknown_dependencies:
            _set_timer(self._unknown_timers, now + self.limits.unknown_timeout_ms, job)
        if job.not_before_unix_ms > unix_now:
            job.is_not_before_reached = False
            _set_timer(self._not_before_timers, job.not_before_unix_ms, job)
        if job.is_runnable:
            self._decided.append(job)

    def _has_max_dependents(self, request_id: str) -> bool:
        return len(self._dependents.get(request_id, ())) >= self.limits.max_dependents

    def _trim_history(self, now: float) -> None:
        self._history.trim(now, self.limits.history_ms, self.limits.history_size)


def _set_timer(queue: TimerQueue[DeferredJob], due_at: float, job: DeferredJob) -> None:
    if due_at < math.inf:
        job.timers.append((queue, queue.schedule(due_at, job)))
