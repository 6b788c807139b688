"""What clients and executors observed in one run; verdicts rest on these records alone."""

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

    Times are ms on the testbed's monotonic clock where the name does not say otherwise. The encoded names are
    those of recorded runs.
    """

    id: str
    job_class: str
    sent_ms: float = msgspec.field(name="sent")
    timeout_ms: float = msgspec.field(name="patience")
    work_ms: float = msgspec.field(name="work", default=0.0)
    run_after: tuple[str, ...] = msgspec.field(name="after", default=())
    not_before_unix_ms: float = msgspec.field(name="not_before", default=0.0)
    answered_ms: float | None = msgspec.field(name="answered", default=None)
    status: int = 0  # 0: no answer came
    retry_after_ms: float = msgspec.field(name="retry_after", default=0.0)
    answer_count: int = msgspec.field(name="answers", default=0)
    body: bytes = b""
    # When its client closed the connection without waiting for the answer, if it did.
    disconnected_ms: float | None = msgspec.field(name="left", default=None)
    node: int = 0  # the node it was sent to
    slots: int = 1
    is_unsent: bool = msgspec.field(name="unsent", default=False)  # no connection: no node has the request
    node_changes: int = msgspec.field(name="moves", default=0)  # other nodes tried after a refused connection
    # Whether it was written to a connection that had carried another one before.
    was_reused: bool | UnsetType = msgspec.field(name="reused", default=UNSET)
    # When that connection ended without an answer, if it did.
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
        """Time from the intended sending until the answer is complete, or until the timeout."""
        answered_ms = self.answered_ms
        if answered_ms is None:
            answered_ms = self.sent_ms + self.timeout_ms
        return answered_ms - self.sent_ms


class AttemptOutcome(StrEnum):
    """How an attempt ended at its executor; the values are those of recorded runs."""

    PENDING = ""  # queued or running, or its executor hangs
    FAILING = "to fail"  # pending, and to be reported as failed once it has run
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
    # When its executor observed that the node had cancelled it: by DELETE, or by a close before the 202.
    cancelled_ms: float | UnsetType = msgspec.field(name="cancelled", default=UNSET)

    def is_open(self, at_ms: float) -> bool:
        """Whether it had been received by then, and had neither ended nor been cancelled."""
        if at_ms < self.received_ms:
            return False
        has_ended = self.ended_ms is not None and self.ended_ms <= at_ms
        return not has_ended and (self.cancelled_ms is UNSET or self.cancelled_ms > at_ms)


class ClosingPeriod(NamedTuple):
    """A period in which a stopping node rejected the jobs that waited there."""

    node: int
    since_ms: float
    until_ms: float


@dataclass(slots=True)
class EventRecord:
    """All that clients and executors observed in one run, and the checks that need nothing else."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    closing_periods: list[ClosingPeriod] = field(default_factory=list)
    unix_offset_ms: float = 0.0  # Unix time minus the testbed's clock
    protocol_violations: list[str] = field(default_factory=list)  # a line each

    def started_attempts_by_id(self) -> dict[str, list[AttemptRecord]]:
        """Return the attempts that an executor started, by the request's id."""
        return attempts_by_id(attempt for attempt in self.attempts if attempt.started_ms is not None)

    def find_repeated(self, non_idempotent_classes: set[str]) -> list[str]:
        """Return the ids of non-idempotent jobs that were started more than once."""
        return [
            request_id
            for request_id, attempts in self.started_attempts_by_id().items()
            if len(attempts) > 1 and attempts[0].job_class in non_idempotent_classes
        ]

    def find_simultaneous(self, most_at_once: int) -> list[str]:
        """Return the ids of requests of which more attempts were open at once than may be."""
        return [excess.attempt.id for excess in find_simultaneous(self.attempts, most_at_once)]

    def find_unanswered(self) -> list[RequestRecord]:
        """Return the requests whose client stayed connected and received no answer."""
        return [
            request
            for request in self.requests.values()
            if request.answered_ms is None and request.disconnected_ms is None
        ]

    def find_late(self, tolerance_ms: float) -> list[RequestRecord]:
        """Return the requests that were answered more than `tolerance_ms` after their timeout."""
        return [
            request
            for request in self.requests.values()
            if request.answered_ms is not None and request.latency_ms > request.timeout_ms + tolerance_ms
        ]

    def find_misplaced(self) -> list[str]:
        """Return the ids of requests that were served another job's result.

        A second answer to one request shows as the answer to the next one on that connection.
        """
        return [
            request.id
            for request in self.requests.values()
            if request.is_served and request.body and request.body.partition(b"@")[0] != request.id.encode()
        ]

    def is_rejected_by_closing_node(self, request: RequestRecord) -> bool:
        """Whether the request was rejected by a node that was about to end."""
        return request.is_rejected and any(
            period.node == request.node and period.since_ms <= (request.answered_ms or 0.0) <= period.until_ms
            for period in self.closing_periods
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
    """Return attempts by the id of their request, in their order."""
    by_id: dict[str, list[AttemptRecord]] = {}
    for attempt in attempts:
        by_id.setdefault(attempt.id, []).append(attempt)
    return by_id


class SimultaneousAttempts(NamedTuple):
    """More attempts of one request were open at once than may be."""

    attempt: AttemptRecord  # whose arrival made them too many
    open_attempts: list[AttemptRecord]  # at that moment, this one among them


def find_simultaneous(attempts: Iterable[AttemptRecord], most_at_once: int) -> Iterator[SimultaneousAttempts]:
    """Find each attempt that was received while as many of its request as may be were open."""
    for of_request in attempts_by_id(attempts).values():
        for attempt in of_request:
            open_attempts = [other for other in of_request if other.is_open(attempt.received_ms)]
            if len(open_attempts) > most_at_once:
                yield SimultaneousAttempts(attempt, open_attempts)


class AnyRequestId(dict[str, RequestRecord]):
    """Requests of an event record whose clients are in another process: any id may be one of theirs."""

    def __contains__(self, key: object) -> bool:
        return bool(key)
