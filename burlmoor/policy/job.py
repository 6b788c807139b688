"""A job and its attempts as the policy sees them."""

from __future__ import annotations

from dataclasses import dataclass

from burlmoor.stats.endpoint import Endpoint
from burlmoor.types.events import (
    JobRequest,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import JobClass


@dataclass(slots=True)
class ScheduledAttempt:
    """One send of a job."""

    number: int
    worker: Endpoint
    sent: float
    missed_key: bool
    look_at: float  # something should have been heard of it by then
    started: float | None = None
    ended: Outcome | None = None
    overdue: bool = False
    expected: float = 0.0  # time from the send to its end


class ScheduledJob:
    """A request that this node has taken."""

    def __init__(self, request: JobRequest, job_class: JobClass, work: float) -> None:
        self.job_class = job_class
        self.id, self.slots, self.memory, self.key = (
            request.id,
            request.slots,
            request.memory,
            request.affinity_key,
        )
        self.work = work
        self.aim = min(
            job_class.latency_objective_ms + job_class.objective_stretch * work, job_class.deadline_ms
        )
        self.aim_at = self.useful_until = self.deadline_at = 0.0  # the second: an answer earns nothing after
        self.attempts: list[ScheduledAttempt] = []
        self.worth = self.standing = self.rounds = 0.0
        self.counted = 0.0  # what it is worth to the site, within its tenant's share
        self.waiting = self.urgent = self.trial = self.done = self.streaming = False
        self.share = 0.0  # the part of all jobs that its key has
        self.check_at = 0.0

    def out(self) -> list[ScheduledAttempt]:
        """The attempts whose outcome is not known yet."""
        return [attempt for attempt in self.attempts if attempt.ended is None]

    def risky(self) -> list[ScheduledAttempt]:
        """The attempts that are not proved to have never run."""
        return [
            attempt for attempt in self.attempts if not (attempt.ended and attempt.ended.proves_not_started)
        ]
