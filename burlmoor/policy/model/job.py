"""The policy's view of a job; the engine's is `burlmoor.engine.job.Job`."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burlmoor.policy.model.attempt import ScheduledAttempt
    from burlmoor.types.events import JobRequest
    from burlmoor.types.settings import JobClass


class JobTimes(NamedTuple):
    """The objective and the deadline of a job, in ms."""

    objective_ms: float  # its class's latency objective, extended in proportion to its work
    objective_at: float
    useful_until: float  # a later answer has no value
    deadline_at: float


class JobWeights(NamedTuple):
    """The weights and the dispatch priority of a job."""

    effective_weight: float  # priority weight (times work, with `weight_by_work`) times class weight
    objective_weight: float  # its contribution to the operators' objective, within its tenant's quota
    priority: float


class ScheduledJob:
    """A job that this node has admitted. Times are in ms of the node's clock.

    `Admission` creates it. Each group of mutable fields is updated by the class named above it.
    """

    def __init__(
        self,
        request: JobRequest,
        job_class: JobClass,
        work_ms: float,
        times: JobTimes,
        weights: JobWeights,
        key_fraction: float,
        *,
        is_exploratory: bool,
    ) -> None:
        self.id = request.id
        self.job_class = job_class
        self.slots = request.slots
        self.memory = request.memory
        self.key = request.affinity_key  # "": none
        self.work_ms = work_ms  # from the request's hint, or estimated if it has none
        self.cost = work_ms * request.slots
        self.objective_ms, self.objective_at, self.useful_until, self.deadline_at = times
        self.effective_weight, self.objective_weight, self.priority = weights
        self.key_fraction = key_fraction  # the fraction of all keyed jobs that have this key
        self.is_exploratory = is_exploratory  # sent even if it is unlikely to finish in time
        # RetrySafety
        self.attempts: list[ScheduledAttempt] = []
        self.is_streaming = False
        self.is_closed = False
        # DispatchRounds
        self.rounds_waited = 0
        self.is_queued = False
        self.is_urgent = False
        # TimerQueue
        self.check_at = 0.0

    def pending_attempts(self) -> list[ScheduledAttempt]:
        """Return the attempts whose outcome is not known yet."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def possibly_run_attempts(self) -> list[ScheduledAttempt]:
        """Return the attempts that may have run, since no outcome proves that they did not start."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.outcome is None or not attempt.outcome.proves_not_started
        ]
