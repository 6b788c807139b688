"""What the far sides saw: clients' jobs and answers, executors' runs. Verdicts compare these alone."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Asked:
    """One request as its client saw it. Times are ms on the rig's clock; `status` 0: no answer came."""

    id: str
    job_class: str
    sent: float
    patience: float
    work: float = 0.0
    after: tuple[str, ...] = ()
    not_before: float = 0.0  # Unix time in ms
    answered: float | None = None
    status: int = 0
    retry_after: float = 0.0
    answers: int = 0
    body: bytes = b""
    left: float | None = None  # when its client went away, if it did
    node: int = 0  # where it was asked
    slots: int = 1
    unsent: bool = False  # whether its node took no connection, so that nobody has it
    moves: int = 0  # how often the front had to try another node, because one did not take connections

    @property
    def served(self) -> bool:
        """Whether the client has a result."""
        return self.status == 200

    @property
    def refused(self) -> bool:
        """Whether the client was told that a retry does no harm."""
        return self.status in (429, 503)

    @property
    def latency(self) -> float:
        """From the moment it was to be sent until its answer's last byte."""
        return (self.answered if self.answered is not None else self.sent + self.patience) - self.sent


@dataclass(slots=True)
class Ran:
    """One attempt as its executor saw it."""

    id: str
    job_class: str
    executor: str
    came: float
    began: float | None = None
    ended: float | None = None
    end: str = ""  # done, handed back, given up, died, full, error
    node: str = ""  # who sent it
    work: float = 0.0  # ms on one core of speed 1, for each of its slots
    slots: int = 1


@dataclass(slots=True)
class Ledger:
    """Owns what the far sides saw of one run."""

    asked: dict[str, Asked] = field(default_factory=dict)
    ran: list[Ran] = field(default_factory=list)
    # When a node that stops refused what waited there: which node, from when until when.
    closings: list[tuple[int, float, float]] = field(default_factory=list)
    to_unix: float = 0.0  # what takes the rig's clock to Unix time
    strange: list[str] = field(default_factory=list)  # what no party that keeps to the protocol does

    def runs(self) -> dict[str, list[Ran]]:
        """The attempts of each id that began."""
        found: dict[str, list[Ran]] = {}
        for each in self.ran:
            if each.began is not None:
                found.setdefault(each.id, []).append(each)
        return found

    def twice(self, once: set[str]) -> list[str]:
        """Ids of classes that must not run twice and began twice."""
        return [ref for ref, rows in self.runs().items() if len(rows) > 1 and rows[0].job_class in once]

    def unanswered(self) -> list[Asked]:
        """Whose client stayed and never heard."""
        return [each for each in self.asked.values() if each.answered is None and each.left is None]

    def late(self, slack: float) -> list[Asked]:
        """Whose answer came more than `slack` ms after its client's time was over."""
        return [
            each
            for each in self.asked.values()
            if each.answered is not None and each.latency > each.patience + slack
        ]

    def misplaced(self) -> list[str]:
        """Served answers that carry another job's result: a second answer shows as the next request's."""
        return [
            each.id
            for each in self.asked.values()
            if each.served and each.body and each.body.partition(b"@")[0] != each.id.encode()
        ]

    def closed_on(self, asked: Asked) -> bool:
        """Whether a job was refused by a node that was about to end."""
        return asked.refused and any(
            node == asked.node and since <= (asked.answered or 0.0) <= until
            for node, since, until in self.closings
        )

    def invented(self) -> list[str]:
        """Served answers that no executor gave."""
        done = {each.id for each in self.ran if each.end == "done"}
        return [each.id for each in self.asked.values() if each.served and each.id not in done]


class Anybody(dict[str, Asked]):
    """For executors whose clients are in another process: any id may be one of theirs."""

    def __contains__(self, key: object) -> bool:
        return bool(key)
