"""What the far sides saw: clients' jobs and answers, executors' runs. Verdicts compare these alone."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec


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

    @property
    def is_served(self) -> bool:
        """Whether the client has a result."""
        return self.status == 200

    @property
    def is_rejected(self) -> bool:
        """Whether the client was told that a retry does no harm."""
        return self.status in (429, 503)

    @property
    def latency_ms(self) -> float:
        """From the moment it was to be sent until its answer's last byte."""
        return (
            self.answered_ms if self.answered_ms is not None else self.sent_ms + self.timeout_ms
        ) - self.sent_ms


class AttemptRecord(msgspec.Struct):
    """One attempt as its executor observed it; times are ms on the testbed's monotonic clock."""

    id: str
    job_class: str
    executor: str
    received_ms: float = msgspec.field(name="came")
    started_ms: float | None = msgspec.field(name="began", default=None)
    ended_ms: float | None = msgspec.field(name="ended", default=None)
    # "done", "failed", "handed back", "given up" (canceled), "died", "full" (rejected) or "error".
    outcome: str = msgspec.field(name="end", default="")
    node: str = ""  # the sender
    work_ms: float = msgspec.field(name="work", default=0.0)  # on one core of speed 1, for each slot
    slots: int = 1


@dataclass(slots=True)
class EventRecord:
    """Owns what the far sides saw of one run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    # When a node that stops refused what waited there: which node, from when until when.
    closing_periods: list[tuple[int, float, float]] = field(default_factory=list)
    unix_offset_ms: float = 0.0  # what takes the rig's clock to Unix time
    protocol_violations: list[str] = field(
        default_factory=list
    )  # what no party that keeps to the protocol does

    def started_attempts_by_id(self) -> dict[str, list[AttemptRecord]]:
        """The attempts of each id that began."""
        found: dict[str, list[AttemptRecord]] = {}
        for each in self.attempts:
            if each.started_ms is not None:
                found.setdefault(each.id, []).append(each)
        return found

    def find_repeated(self, once: set[str]) -> list[str]:
        """Ids of classes that must not run twice and began twice."""
        return [
            ref
            for ref, rows in self.started_attempts_by_id().items()
            if len(rows) > 1 and rows[0].job_class in once
        ]

    def find_unanswered(self) -> list[RequestRecord]:
        """Whose client stayed and never heard."""
        return [
            each
            for each in self.requests.values()
            if each.answered_ms is None and each.disconnected_ms is None
        ]

    def find_late(self, slack: float) -> list[RequestRecord]:
        """Whose answer came more than `slack` ms after its client's time was over."""
        return [
            each
            for each in self.requests.values()
            if each.answered_ms is not None and each.latency_ms > each.timeout_ms + slack
        ]

    def find_misplaced(self) -> list[str]:
        """Served answers that carry another job's result: a second answer shows as the next request's."""
        return [
            each.id
            for each in self.requests.values()
            if each.is_served and each.body and each.body.partition(b"@")[0] != each.id.encode()
        ]

    def is_rejected_by_closing_node(self, asked: RequestRecord) -> bool:
        """Whether a job was refused by a node that was about to end."""
        return asked.is_rejected and any(
            node == asked.node and since <= (asked.answered_ms or 0.0) <= until
            for node, since, until in self.closing_periods
        )

    def find_fabricated(self) -> list[str]:
        """Served answers that no executor gave."""
        done = {each.id for each in self.attempts if each.outcome == "done"}
        return [each.id for each in self.requests.values() if each.is_served and each.id not in done]


class AnyRequestId(dict[str, RequestRecord]):
    """For executors whose clients are in another process: any id may be one of theirs."""

    def __contains__(self, key: object) -> bool:
        return bool(key)
