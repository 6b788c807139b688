"""The parsed requests of a downstream connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from http import HTTPStatus

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
    """A load balancer in front of the node asks whether it accepts clients."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """A request that is rejected without being handled, with this status and the reason as its body."""

    status: HTTPStatus
    reason: str


ParsedRequest = JobSubmission | JobCallback | ReadinessCheck | InvalidRequest
