"""A job and its attempts: what this node knows of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.types.events import JobRequest
    from burlmoor.types.outcome import Outcome
    from burlmoor.types.settings import JobClass


@dataclass(slots=True)
class ScheduledAttempt:
    """One send of a job. Times are ms of the node's clock."""

    number: int
    endpoint: Endpoint
    sent_at: float
    expected_ms: float  # from the send to its end
    is_cache_miss: bool
    check_at: float  # something should have been heard of it by then
    started_at: float | None = None
    outcome: Outcome | None = None
    is_cancelling: bool = False  # by the node; pending until its endpoint is known not to hold the job
    is_overdue: bool = False
    awaits_late_retry: bool = False  # whether a retry waits for the last moment that is of use

    def clear_overdue(self) -> None:
        """Note that the attempt has started or ended."""
        self.endpoint.overdue_attempts -= self.is_overdue
        self.is_overdue = False


class ScheduledJob:
    """A request that this node has admitted."""

    def __init__(self, request: JobRequest, job_class: JobClass, work_ms: float) -> None:
        self.job_class = job_class
        self.id = request.id
        self.slots = request.slots
        self.memory = request.memory
        self.key = request.affinity_key
        self.work_ms = work_ms
        self.cost = work_ms * request.slots
        stretched_ms = job_class.latency_objective_ms + job_class.objective_stretch * work_ms
        self.objective_ms = min(stretched_ms, job_class.deadline_ms)
        self.objective_at = 0.0
        self.useful_until = 0.0  # an answer earns nothing after it
        self.deadline_at = 0.0
        self.weight = 0.0  # priority weight, with the class weight
        self.objective_weight = 0.0  # what it adds to the operators' objective, within its tenant's quota
        self.priority = 0.0
        self.key_share = 0.0  # the part of all jobs with a key that ask for this one
        self.rounds_waited = 0
        self.attempts: list[ScheduledAttempt] = []
        self.check_at = 0.0
        self.is_queued = False
        self.is_urgent = False
        self.is_exploratory = False  # sent even where it looks hopeless
        self.is_streaming = False
        self.is_closed = False

    def pending_attempts(self) -> list[ScheduledAttempt]:
        """Return the attempts whose outcome is not known yet."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def possibly_run_attempts(self) -> list[ScheduledAttempt]:
        """Return the attempts that are not proved to have never run."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.outcome is None or not attempt.outcome.proves_not_started
        ]
