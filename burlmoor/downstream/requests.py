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
    """The submission of a job by a client."""

    request_id: str
    request: JobRequest
    payload: Payload
    conditions: RunConditions | None = None


@dataclass(frozen=True, slots=True)
class JobCallback:
    """An executor's report on an attempt: its start, progress or end."""

    body: bytes


@dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """A readiness check by a load balancer in front of the node."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """A request that is rejected before it is handled, with this status and with the reason as the body."""

    status: HTTPStatus
    reason: str


ParsedRequest = JobSubmission | JobCallback | ReadinessCheck | InvalidRequest
