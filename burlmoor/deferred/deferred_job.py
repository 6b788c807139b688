"""A deferred job, and the reasons for deferral."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.deferred.timer_queue import TimerQueue


class DeferralReason(Enum):
    """Why a job is deferred (the first four), or why its deferral ended without its release (the others).

    `DEPENDENCY_UNKNOWN` is both.
    """

    DEPENDENCY_OPEN = "jobs"  # a job that it depends on is open
    DEPENDENCY_UNKNOWN = "unknown"  # a job that it depends on is neither open here nor remembered
    NOT_BEFORE = "time"  # its not-before time has not passed
    RELEASE_PENDING = "turn"  # all conditions are met, and it is not released yet
    DEPENDENCY_FAILED = "parent"  # a job that it depends on was not served
    CYCLE = "cycle"  # a job that it depends on depends on it in turn
    CAPACITY_REACHED = "full"  # a limit on deferred jobs is reached
    TOO_LATE = "hopeless"  # its latest-release time has passed, or precedes its not-before time
    DRAINING = "closed"  # the node is draining or shutting down


@dataclass(slots=True, eq=False)
class DeferredJob:
    """A deferred job and its unmet conditions; times are in ms on the engine's clock."""

    id: str
    deferred_at: float
    latest_release_at: float
    not_before_unix_ms: float
    unmet_dependencies: set[str] = field(default_factory=set)  # ids of jobs that have not been served yet
    unknown_dependencies: set[str] = field(default_factory=set)  # those of them that are not open here
    end_reason: DeferralReason | None = None
    is_not_before_reached: bool = True  # whether its not-before time has passed
    timers: list[tuple[TimerQueue[DeferredJob], int]] = field(default_factory=list)

    @property
    def is_runnable(self) -> bool:
        """Whether all its conditions are met."""
        return not self.unmet_dependencies and self.is_not_before_reached and self.end_reason is None

    @property
    def is_decided(self) -> bool:
        """Whether it can leave the graph: it is runnable, or its deferral has ended without its release."""
        return self.is_runnable or self.end_reason is not None

    @property
    def reason(self) -> DeferralReason:
        """Why it is deferred, or why its deferral ended."""
        if self.end_reason is not None:
            return self.end_reason
        if self.unknown_dependencies:
            return DeferralReason.DEPENDENCY_UNKNOWN
        if self.unmet_dependencies:
            return DeferralReason.DEPENDENCY_OPEN
        return DeferralReason.RELEASE_PENDING if self.is_not_before_reached else DeferralReason.NOT_BEFORE
