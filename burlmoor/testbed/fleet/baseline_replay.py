"""Replays the jobs of a run in virtual time, with a simple selection strategy and the same faults.

The network is not modelled, so nothing is lost or delayed. A baseline therefore does no worse here than it
would with real processes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.testbed.event_record import AttemptOutcome, AttemptRecord, RequestRecord
from burlmoor.testbed.executor_model import ExecutorModel
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.load import Job, draw_jobs
from burlmoor.testbed.messages import JobState

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.record import FaultInterval, RunRecord

# Returns the number of the executor selected for a job; the candidates are in ascending order.
SelectionStrategy = Callable[["BaselineReplay", Job, Sequence[int]], int]

_MAX_ATTEMPTS = 2  # a rejected job is sent once more, as a node's retry would be
_MAX_OVERRUN_MS = 10_000.0  # how long the replay continues after the load ends, for jobs in flight


class ReplayResult(NamedTuple):
    """The events that clients and executors would have observed."""

    requests: list[RequestRecord]
    attempts: list[AttemptRecord]


class _ScheduledEvent(NamedTuple):
    at_ms: float
    order: int  # scheduling order, in which events due at the same time run
    action: Callable[[], None]


@dataclass(slots=True)
class _InFlight:
    attempt: AttemptRecord
    request: RequestRecord
    executor: int


class BaselineReplay:
    """Owns one replay: the executor models, and the count of each node's jobs in flight."""

    def __init__(self, record: RunRecord, select: SelectionStrategy, seed: int = 1) -> None:
        self.record = record
        self.rng = random.Random(seed)
        self.executor_names = record.executor_names()
        self.executors = [ExecutorModel(spec, 0.0) for spec in record.executor_specs()]
        self.capacities = [spec.capacity for spec in record.executor_specs()]
        # The number of jobs in flight, by node and then by executor.
        self.jobs_by_node: dict[int, list[float]] = defaultdict(lambda: [0.0] * len(self.executors))
        self.next_positions: dict[int, int] = {}  # by node, for round robin
        self.outstanding_work = [0.0] * len(self.executors)  # by executor, across all nodes, in core-ms
        self.now_ms = 0.0
        self._select = select
        self._result = ReplayResult([], [])
        self._in_flight: dict[str, _InFlight] = {}
        self._listed = set(range(len(self.executors)))
        self._running = set(range(len(self.executors)))
        self._next_steps_ms = [math.inf] * len(self.executors)
        self._events: list[_ScheduledEvent] = []
        self._event_count = 0

    def run(self) -> ReplayResult:
        """Replay all jobs and faults."""
        record = self.record
        self.now_ms = record.start_ms
        for job in draw_jobs(record.load):
            self._schedule(record.start_ms + job.start_seconds * 1000.0, partial(self._dispatch, job))
        self._schedule_faults()
        end_ms = record.start_ms + record.plan.seconds * 1000.0 + _MAX_OVERRUN_MS
        while self._events and self._events[0].at_ms <= end_ms:
            event = heapq.heappop(self._events)
            self.now_ms = event.at_ms
            event.action()
        return self._result

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, _ScheduledEvent(at_ms, self._event_count, action))

    def _dispatch(self, job: Job) -> None:
        request = RequestRecord(
            f"j{job.number}",
            job.job_class.name,
            self.now_ms,
            job.job_class.timeout_ms,
            job.work_ms,
            slots=job.slots,
        )
        request.node = job.node
        self._result.requests.append(request)
        for _ in range(_MAX_ATTEMPTS):
            executor = self._select(self, job, sorted(self._listed))
            if self._attempt(request, job, executor):
                return
        self._answer(request, HTTPStatus.SERVICE_UNAVAILABLE)

    def _attempt(self, request: RequestRecord, job: Job, executor: int) -> bool:
        """Send the job to an executor, and return whether the executor admitted it."""
        attempt = AttemptRecord(
            request.id,
            request.job_class,
            self.executor_names[executor],
            self.now_ms,
            node=str(job.node),
            work_ms=job.work_ms,
            slots=job.slots,
        )
        self._result.attempts.append(attempt)
        if executor not in self._running or not self.executors[executor].admit(
            self.now_ms, attempt.id, job.work_ms, job.slots
        ):
            attempt.outcome = AttemptOutcome.REJECTED
            attempt.ended_ms = self.now_ms
            return False
        self._in_flight[attempt.id] = _InFlight(attempt, request, executor)
        self.jobs_by_node[job.node][executor] += 1.0
        self.outstanding_work[executor] += job.work_ms * job.slots
        self._step(executor)
        return True

    def _answer(self, request: RequestRecord, status: HTTPStatus) -> None:
        request.answered_ms = self.now_ms
        request.status = status
        request.answer_count = 1

    def _step(self, executor: int) -> None:
        """Advance an executor to the current time and schedule its next step."""
        model = self.executors[executor]
        for progress in model.step(self.now_ms):
            if progress.state is JobState.STARTED:
                self._in_flight[progress.job_id].attempt.started_ms = self.now_ms
            elif progress.state is JobState.DONE:
                self._on_done(self._in_flight[progress.job_id])
        due_ms = model.next_due_ms()
        scheduled_ms = self._next_steps_ms[executor]
        if due_ms < scheduled_ms or scheduled_ms <= self.now_ms:
            self._next_steps_ms[executor] = due_ms
            if due_ms < math.inf:
                self._schedule(max(due_ms, self.now_ms), partial(self._on_step_due, executor, due_ms))

    def _on_step_due(self, executor: int, due_ms: float) -> None:
        # If the values differ, a step scheduled later has replaced this one.
        if self._next_steps_ms[executor] == due_ms:
            self._next_steps_ms[executor] = math.inf
            self._step(executor)

    def _on_done(self, in_flight: _InFlight) -> None:
        in_flight.attempt.outcome = AttemptOutcome.DONE
        in_flight.attempt.ended_ms = self.now_ms
        if self.now_ms <= in_flight.request.sent_ms + in_flight.request.timeout_ms:
            self._answer(in_flight.request, HTTPStatus.OK)
        self._remove(in_flight)

    def _remove(self, in_flight: _InFlight) -> None:
        del self._in_flight[in_flight.attempt.id]
        self.jobs_by_node[in_flight.request.node][in_flight.executor] -= 1.0
        self.outstanding_work[in_flight.executor] -= in_flight.attempt.work_ms * in_flight.attempt.slots

    def _schedule_faults(self) -> None:
        numbers = {name: number for number, name in enumerate(self.executor_names)}
        for interval in self.record.fault_intervals:
            executor = numbers.get(interval.subject)
            if executor is not None:
                self._schedule_fault(interval, executor)

    def _schedule_fault(self, interval: FaultInterval, executor: int) -> None:
        # An interval doesn't name its fault. If the schedule has several faults of a kind, the notification
        # delay of the last kill and the factor of the largest slowdown apply to all of them.
        faults = self.record.plan.schedule.faults
        if interval.kind is FaultKind.EXECUTOR_DRAIN:
            self._schedule(interval.start_ms, partial(self._listed.discard, executor))
            self._schedule(interval.end_ms, partial(self._kill, executor))
            self._schedule(interval.end_ms, partial(self._restart, executor))
        elif interval.kind is FaultKind.EXECUTOR_KILL:
            delays_ms = [
                fault.notification_delay * 1000.0 for fault in faults if fault.kind is FaultKind.EXECUTOR_KILL
            ]
            self._schedule(interval.start_ms, partial(self._kill, executor))
            self._schedule(interval.start_ms + delays_ms[-1], partial(self._listed.discard, executor))
            self._schedule(interval.end_ms, partial(self._restart, executor))
        elif interval.kind is FaultKind.EXECUTOR_SLOWDOWN:
            slowdowns = [fault.magnitude for fault in faults if fault.kind is FaultKind.EXECUTOR_SLOWDOWN]
            factor = max(slowdowns, default=1.0)
            self._schedule(interval.start_ms, partial(self._set_slowdown, executor, max(1.0, factor)))
            self._schedule(interval.end_ms, partial(self._set_slowdown, executor, 1.0))
        elif interval.kind in (FaultKind.EXECUTOR_HANG, FaultKind.EXECUTOR_ERRORS):
            # An executor that fails every job is modelled as stalled: either way it serves no client.
            self._schedule(interval.start_ms, partial(self._set_stalled, executor, is_stalled=True))
            self._schedule(interval.end_ms, partial(self._set_stalled, executor, is_stalled=False))

    def _kill(self, executor: int) -> None:
        self._running.discard(executor)
        for lost in [each for each in self._in_flight.values() if each.executor == executor]:
            lost.attempt.outcome = AttemptOutcome.LOST
            lost.attempt.ended_ms = self.now_ms
            self._answer(lost.request, HTTPStatus.BAD_GATEWAY)
            self._remove(lost)
        self._reset(executor)
        self._next_steps_ms[executor] = math.inf

    def _restart(self, executor: int) -> None:
        self._reset(executor)
        self._running.add(executor)
        self._listed.add(executor)

    def _reset(self, executor: int) -> None:
        spec = self.record.specs[self.executor_names[executor]]
        self.executors[executor] = ExecutorModel(spec, self.now_ms, in_slow_start=True)

    def _set_slowdown(self, executor: int, factor: float) -> None:
        self.executors[executor].set_slowdown(self.now_ms, factor)
        self._step(executor)

    def _set_stalled(self, executor: int, *, is_stalled: bool) -> None:
        self.executors[executor].set_stalled(self.now_ms, is_stalled=is_stalled)
        self._step(executor)
