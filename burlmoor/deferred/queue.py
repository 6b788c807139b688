"""The queue of deferred jobs: accepts jobs within its limits, and decides which to release and which to end.

No I/O, no threads. The engine passes the time on its own clock, in ms; Unix time is read from `unix_clock`.
"""

from __future__ import annotations

import math
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.deferred.deferred_job import DeferralReason, DeferredJob
from burlmoor.deferred.dependency_graph import DependencyGraph, GraphLimits
from burlmoor.deferred.rate_control import AdaptiveTokenBucket, CongestionWindow
from burlmoor.deferred.release_queue import ReleaseQueue
from burlmoor.deferred.status_snapshot import DeferredJobStatus, StatusSnapshot
from burlmoor.engine.answers import DependencyFailed, FinalAnswer, Rejected, Served
from burlmoor.engine.deferral import EndDecision, ReleaseDecision, RunConditions
from burlmoor.log_events import DeferralsEnded, DeferredQueueFull

if TYPE_CHECKING:
    from collections.abc import Callable

    from immutables import Map

    from burlmoor.config.options.sections import DeferredOptions
    from burlmoor.log import EventLogger
    from burlmoor.types.events import JobRequest

_MAX_DECISIONS_PER_STEP = 100  # so that a long chain of jobs doesn't block the event loop
_MAX_NOT_BEFORE_RETRY_AFTER_MS = 3_600_000.0
_MIN_RETRY_AFTER_FRACTION = 0.5  # lower bound of the random Retry-After, relative to the longest
_UNIX_CLOCK_CHECK_INTERVAL_MS = 1000.0  # while a not-before timer is set, as Unix time may step
_DEPENDENCY_FAILURE_TEXTS = {
    DeferralReason.DEPENDENCY_FAILED: "a job that this one runs after was not served",
    DeferralReason.CYCLE: "a job that this one runs after runs after this one",
}


class _Entry(NamedTuple):
    job: DeferredJob
    job_class: str
    slots: float
    size_bytes: int


def _unix_now_ms() -> float:
    return time.time() * 1000.0


def _graph_limits(options: DeferredOptions, max_connections: int) -> GraphLimits:
    max_held_connections = max(1, int(max_connections * options.connection_fraction))
    return GraphLimits(
        max_jobs=min(options.max_jobs, max_held_connections),
        max_dependents=options.max_dependents,
        unknown_timeout_ms=options.unknown_timeout_ms,
        history_ms=options.history_ms,
        history_size=options.history_size,
    )


class DeferredJobQueue:
    """Owns the dependency graph, the limits on it, the release of runnable jobs, and the status snapshot.

    The engine uses it as its `DeferralQueue`. `max_connections` is the node's limit on downstream
    connections; `max_retry_after_ms` is the longest Retry-After of a rejection.
    """

    def __init__(
        self,
        options: DeferredOptions,
        max_connections: int,
        max_retry_after_ms: float,
        seed: int,
        log: EventLogger,
        now: float,
        unix_clock: Callable[[], float] = _unix_now_ms,
    ) -> None:
        self.max_deferral_ms = options.max_deferral_ms
        self.body_bytes = 0  # of all deferred jobs
        self.released_count = 0
        self.ended_count = 0  # deferrals that ended without a release
        self._options = options
        self._max_connections = max_connections
        self._max_retry_after_ms = max_retry_after_ms
        self._log = log
        self._unix_clock = unix_clock
        self._rng = random.Random(seed)
        self._graph = DependencyGraph(_graph_limits(options, max_connections))
        bucket = AdaptiveTokenBucket(options.release_rate, options.release_burst, now)
        self._release_queue: ReleaseQueue[DeferredJob] = ReleaseQueue(bucket)
        self._window = CongestionWindow()
        self._entries: dict[str, _Entry] = {}
        self._released_ids: set[str] = set()  # released jobs that have not ended
        self._is_draining = False
        self._status = StatusSnapshot()

    @property
    def limits(self) -> GraphLimits:
        """The limits in force."""
        return self._graph.limits

    @property
    def job_count(self) -> int:
        """How many jobs are deferred."""
        return len(self._entries)

    @property
    def status_by_id(self) -> Map[str, DeferredJobStatus]:
        """The deferred jobs as of the last step, as an immutable map."""
        return self._status.by_id

    def apply_options(self, options: DeferredOptions, now: float) -> None:
        """Use these options for new jobs; jobs that are already deferred keep their times."""
        self._options = options
        self.max_deferral_ms = options.max_deferral_ms
        self._graph.limits = _graph_limits(options, self._max_connections)
        self._release_queue.bucket = AdaptiveTokenBucket(options.release_rate, options.release_burst, now)

    def set_draining(self, *, is_draining: bool) -> None:
        """Set whether the node is draining; while it is, all deferrals end, also those of new jobs."""
        if is_draining and not self._is_draining and self._entries:
            self._log(DeferralsEnded(jobs=len(self._entries)))
            self._graph.end_all()
        self._is_draining = is_draining

    def on_job_admitted(self, request_id: str) -> None:
        """Record that the node has admitted a job."""
        self._graph.on_job_admitted(request_id)
        self._status.mark_changed(self._graph.dependents_of(request_id))

    def on_job_ended(self, request_id: str, answer: FinalAnswer | None, now: float) -> None:
        """Record that a job has ended with this answer; None if its client has disconnected."""
        self._status.mark_changed(self._graph.dependents_of(request_id))
        was_served = isinstance(answer, Served)
        self._graph.on_job_ended(request_id, now, was_served=was_served)
        self._drop_entry(request_id)
        if request_id not in self._released_ids:
            return
        self._released_ids.discard(request_id)
        if was_served or isinstance(answer, Rejected):
            # Rejections reduce the release rate, so that released jobs do not overload the endpoints.
            self._release_queue.bucket.adjust_rate(now, was_served=was_served)
            self._window.adjust_size(now, was_served=was_served)

    def defer(
        self, request_id: str, request: JobRequest, conditions: RunConditions, deadline: float, now: float
    ) -> None:
        """Defer a newly admitted job; the decision on it is returned by a later `step`."""
        latest_release_at = deadline - request.work_ms - self._options.min_remaining_ms
        unix_now = self._unix_clock()
        exceeds_bytes = self.body_bytes + conditions.size_bytes > self._options.max_body_bytes
        job = self._graph.add(
            request_id, conditions.after, conditions.not_before_unix_ms, latest_release_at, now, unix_now
        )
        if self._is_draining:
            self._graph.end_deferral(job, DeferralReason.DRAINING)
        elif exceeds_bytes:
            self._graph.end_deferral(job, DeferralReason.CAPACITY_REACHED)
        if job.end_reason is DeferralReason.CAPACITY_REACHED:
            self._log(DeferredQueueFull(jobs=len(self._entries), bytes=self.body_bytes))
        self._entries[request_id] = _Entry(job, request.job_class, request.slots, conditions.size_bytes)
        self.body_bytes += conditions.size_bytes
        self._status.mark_changed((request_id,))

    def next_due(self, now: float) -> float:
        """Return when `step` has to be called next."""
        due = min(self._graph.next_due(now, self._unix_clock()), self._release_queue.next_due(now))
        return min(due, now + _UNIX_CLOCK_CHECK_INTERVAL_MS) if self._graph.has_not_before_timers else due

    def step(self, now: float, releasable_slots: Callable[[], float]) -> list[ReleaseDecision | EndDecision]:
        """Return the jobs to end and to release now, a bounded number of them.

        `releasable_slots` returns how many slots deferred jobs may use now.
        """
        decisions: list[ReleaseDecision | EndDecision] = []
        self._process_decided_jobs(now, decisions)
        self._release_jobs(now, releasable_slots, decisions)
        self._status.refresh(self._find_status)
        return decisions

    def _process_decided_jobs(self, now: float, decisions: list[ReleaseDecision | EndDecision]) -> None:
        """Answer jobs whose deferral has ended, and queue runnable jobs for release."""
        unix_now = self._unix_clock()
        while len(decisions) < _MAX_DECISIONS_PER_STEP:
            job = self._graph.pop_decided(now, unix_now)
            if job is None:
                return
            if job.end_reason is None:
                self._release_queue.push(job.latest_release_at, self._entries[job.id].slots, job)
                self._status.mark_changed((job.id,))
                continue
            answer = self._final_answer(job, unix_now)
            decisions.append(EndDecision(job.id, answer))
            self.ended_count += 1
            # Recorded now and not after the engine has answered, so that a long chain needs few steps.
            self.on_job_ended(job.id, answer, now)

    def _release_jobs(
        self,
        now: float,
        releasable_slots: Callable[[], float],
        decisions: list[ReleaseDecision | EndDecision],
    ) -> None:
        remaining_slots: float | None = None  # computed only if there is a job to release
        while len(decisions) < _MAX_DECISIONS_PER_STEP and self._has_releasable_job():
            if remaining_slots is None:
                remaining_slots = releasable_slots()
            # Beyond the window, no slots count as free, and only a token releases a job.
            is_window_open = len(self._released_ids) < self._window.size
            release = self._release_queue.pop_releasable(
                now, remaining_slots if is_window_open else -math.inf
            )
            if release is None:
                return
            remaining_slots -= release.slots
            decisions.append(self._release(release.item, now))

    def _has_releasable_job(self) -> bool:
        """Drop jobs that are no longer deferred from the head of the queue; return whether one is left."""
        while (job := self._release_queue.peek()) is not None:
            # The id may belong to a resubmitted job while the earlier job is still in the release queue.
            entry = self._entries.get(job.id)
            if entry is not None and entry.job is job and job.end_reason is None:
                return True
            self._release_queue.discard_first()
        return False

    def _release(self, job: DeferredJob, now: float) -> ReleaseDecision:
        # Raises the job's priority; from 0 to 1 as the time for which it was deferred grows.
        credit = min(1.0, (now - job.deferred_at) / self._options.full_credit_ms)
        self.released_count += 1
        self._released_ids.add(job.id)
        self._drop_entry(job.id)
        self._graph.remove(job.id)
        return ReleaseDecision(job.id, credit)

    def _final_answer(self, job: DeferredJob, unix_now: float) -> FinalAnswer:
        if job.end_reason in _DEPENDENCY_FAILURE_TEXTS:
            return DependencyFailed(_DEPENDENCY_FAILURE_TEXTS[job.end_reason])
        retry_after_ms = self._max_retry_after_ms * self._rng.uniform(_MIN_RETRY_AFTER_FRACTION, 1.0)
        if job.end_reason is DeferralReason.TOO_LATE and job.not_before_unix_ms > unix_now:
            # The job can't run before its not-before time.
            retry_after_ms = min(_MAX_NOT_BEFORE_RETRY_AFTER_MS, job.not_before_unix_ms - unix_now)
        return Rejected(retry_after_ms)

    def _drop_entry(self, request_id: str) -> None:
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            self.body_bytes -= entry.size_bytes
            self._status.mark_changed((request_id,))

    def _find_status(self, request_id: str) -> DeferredJobStatus | None:
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        job = entry.job
        return DeferredJobStatus(entry.job_class, job.reason.value, job.deferred_at, entry.size_bytes)
