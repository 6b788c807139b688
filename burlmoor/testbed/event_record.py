"""What clients and executors observed in one run; verdicts use these records only."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from msgspec import UNSET, UnsetType

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class RequestRecord(msgspec.Struct):
    """One request as its client observed it.

    Times are ms on the testbed's monotonic clock unless the name says otherwise. The encoded names are those
    of recorded runs.
    """

    id: str
    job_class: str
    sent_ms: float = msgspec.field(name="sent")  # intended time; a client that lags sends later
    timeout_ms: float = msgspec.field(name="patience")
    work_ms: float = msgspec.field(name="work", default=0.0)
    run_after: tuple[str, ...] = msgspec.field(name="after", default=())
    not_before_unix_ms: float = msgspec.field(name="not_before", default=0.0)
    answered_ms: float | None = msgspec.field(name="answered", default=None)
    status: int = 0  # 0: no answer
    retry_after_ms: float = msgspec.field(name="retry_after", default=0.0)
    answer_count: int = msgspec.field(name="answers", default=0)
    body: bytes = b""
    # Time at which the client closes the connection without waiting for an answer; None: it waits.
    disconnect_at_ms: float | None = msgspec.field(name="left", default=None)
    node: int = 0  # the node it was sent to
    slots: int = 1
    is_unsent: bool = msgspec.field(name="unsent", default=False)  # never sent: no node has the request
    node_changes: int = msgspec.field(name="moves", default=0)  # other nodes tried after a refused connection
    # Whether it was sent on a connection that had carried another request before.
    was_reused: bool | UnsetType = msgspec.field(name="reused", default=UNSET)
    # Time at which the connection ended without an answer.
    closed_ms: float | UnsetType = msgspec.field(name="closed", default=UNSET)

    @property
    def is_served(self) -> bool:
        """Whether the client received a result."""
        return self.status == HTTPStatus.OK

    @property
    def is_rejected(self) -> bool:
        """Whether the answer says that the job did not run, so that a retry is safe."""
        return self.status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)

    @property
    def latency_ms(self) -> float:
        """The time from the intended start to the complete answer, or to the timeout if there is none."""
        answered_ms = self.answered_ms
        if answered_ms is None:
            answered_ms = self.sent_ms + self.timeout_ms
        return answered_ms - self.sent_ms


class AttemptOutcome(StrEnum):
    """How an attempt ended at its executor; the values are those of recorded runs."""

    PENDING = ""  # queued, running, or at an executor that hangs
    FAILING = "to fail"  # pending; its executor reports it as failed once it has run
    DONE = "done"
    FAILED = "failed"
    RETURNED = "handed back"  # not started, by an executor that drains
    CANCELLED = "given up"  # by its node, before it started
    LOST = "died"  # with the executor's process
    REJECTED = "full"
    ERROR = "error"  # answered with status 500


class AttemptRecord(msgspec.Struct):
    """One attempt as its executor observed it; times are ms on the testbed's monotonic clock."""

    id: str
    job_class: str
    executor: str
    received_ms: float = msgspec.field(name="came")
    started_ms: float | None = msgspec.field(name="began", default=None)
    ended_ms: float | None = msgspec.field(name="ended", default=None)
    outcome: AttemptOutcome = msgspec.field(name="end", default=AttemptOutcome.PENDING)
    node: str = ""  # the sender
    work_ms: float = msgspec.field(name="work", default=0.0)  # on one core of speed 1, for each slot
    slots: int = 1
    # Time at which the executor observed a cancellation by the node: a DELETE, or a close before the 202.
    cancelled_ms: float | UnsetType = msgspec.field(name="cancelled", default=UNSET)

    def is_open(self, at_ms: float) -> bool:
        """Whether it had been received at a time, and had neither ended nor been cancelled."""
        if at_ms < self.received_ms:
            return False
        has_ended = self.ended_ms is not None and self.ended_ms <= at_ms
        return not has_ended and (self.cancelled_ms is UNSET or self.cancelled_ms > at_ms)


class ShutdownPeriod(NamedTuple):
    """A period in which a stopping node rejected its deferred jobs."""

    node: int
    since_ms: float
    until_ms: float


@dataclass(slots=True)
class EventRecord:
    """What clients and executors observed in one run, with the checks that need no other data."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    shutdown_periods: list[ShutdownPeriod] = field(default_factory=list)
    unix_offset_ms: float = 0.0  # Unix time minus the testbed's clock
    protocol_violations: list[str] = field(default_factory=list)  # one line of text each

    def started_attempts_by_id(self) -> dict[str, list[AttemptRecord]]:
        """Return the attempts that executors started, by request id."""
        return attempts_by_id(attempt for attempt in self.attempts if attempt.started_ms is not None)

    def find_repeated(self, non_idempotent_classes: set[str]) -> list[str]:
        """Return the ids of non-idempotent jobs that were started more than once."""
        return [
            request_id
            for request_id, attempts in self.started_attempts_by_id().items()
            if len(attempts) > 1 and attempts[0].job_class in non_idempotent_classes
        ]

    def find_ids_with_simultaneous_attempts(self, max_open: int) -> list[str]:
        """Return the request id of each attempt that exceeded `max_open` open attempts of its request."""
        return [excess.attempt.id for excess in find_simultaneous(self.attempts, max_open)]

    def find_unanswered(self) -> list[RequestRecord]:
        """Return the requests whose client stayed connected and received no answer."""
        return [
            request
            for request in self.requests.values()
            if request.answered_ms is None and request.disconnect_at_ms is None
        ]

    def find_late(self, tolerance_ms: float) -> list[RequestRecord]:
        """Return the requests that were answered more than `tolerance_ms` after their timeout."""
        return [
            request
            for request in self.requests.values()
            if request.answered_ms is not None and request.latency_ms > request.timeout_ms + tolerance_ms
        ]

    def find_misdelivered(self) -> list[str]:
        """Return the ids of requests that were answered with the result of another job.

        If a node answers a request twice, its client reads the second answer as that to its next request.
        """
        return [
            request.id
            for request in self.requests.values()
            if request.is_served and request.body and request.body.partition(b"@")[0] != request.id.encode()
        ]

    def is_rejected_by_stopping_node(self, request: RequestRecord) -> bool:
        """Whether the request was rejected by a node that was stopping."""
        return request.is_rejected and any(
            period.node == request.node and period.since_ms <= (request.answered_ms or 0.0) <= period.until_ms
            for period in self.shutdown_periods
        )

    def find_fabricated(self) -> list[str]:
        """Return the ids of requests that were served although no executor completed them."""
        completed = {attempt.id for attempt in self.attempts if attempt.outcome == AttemptOutcome.DONE}
        return [
            request.id
            for request in self.requests.values()
            if request.is_served and request.id not in completed
        ]


def attempts_by_id(attempts: Iterable[AttemptRecord]) -> dict[str, list[AttemptRecord]]:
    """Group attempts by request id, in their order."""
    by_id: dict[str, list[AttemptRecord]] = {}
    for attempt in attempts:
        by_id.setdefault(attempt.id, []).append(attempt)
    return by_id


class SimultaneousAttempts(NamedTuple):
    """An attempt that exceeded the limit of open attempts of its request."""

    attempt: AttemptRecord  # the one whose arrival exceeded the limit
    open_attempts: list[AttemptRecord]  # at that time, including this one


def find_simultaneous(attempts: Iterable[AttemptRecord], max_open: int) -> Iterator[SimultaneousAttempts]:
    """Find each attempt that was received while `max_open` others of its request were open."""
    for request_attempts in attempts_by_id(attempts).values():
        for attempt in request_attempts:
            open_attempts = [other for other in request_attempts if other.is_open(attempt.received_ms)]
            if len(open_attempts) > max_open:
                yield SimultaneousAttempts(attempt, open_attempts)


class AnyRequestId(dict[str, RequestRecord]):
    """Stands for the requests of clients in another process, so that any id counts as sent by a client."""

    def __contains__(self, key: object) -> bool:
        return bool(key)
