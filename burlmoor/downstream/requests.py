"""The requests that a downstream connection can carry, as parsed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.engine.deferral import RunConditions
    from burlmoor.types.events import JobRequest
    from burlmoor.types.payload import Payload


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """A client submits a job."""

    request_id: str
    request: JobRequest
    payload: Payload
    conditions: RunConditions | None = None


@dataclass(frozen=True, slots=True)
class JobCallback:
    """An executor reports the progress or the end of an attempt."""

    body: bytes


@dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """A load balancer in front asks whether this node takes jobs."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """A request that is rejected as it stands, with this status; the reason goes into the answer."""

    status: int
    reason: str


ParsedRequest = JobSubmission | JobCallback | ReadinessCheck | InvalidRequest
