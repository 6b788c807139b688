"""What is left of a run: one folder that holds its plan, its troubles and the far sides' ledgers."""

from __future__ import annotations

import gzip
from pathlib import Path

import msgspec

from burlmoor.testbed.event_record import AttemptRecord, RequestRecord
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.fleet.faults import Schedule
from burlmoor.testbed.fleet.load import Load


class Plan(msgspec.Struct):
    """What is run."""

    nodes: int
    executors: int
    seconds: float
    seed: int
    rate: float
    load: float = 0.7  # of what warm executors can do
    zones: int = 1
    skew: float = 0.5
    loud: float = 1.0
    hot: float = 0.0
    keys: int = 0
    sabotage: str | None = None
    schedule: Schedule = Schedule(0)


class Span(msgspec.Struct):
    """Something that was so for a while: times are ms on the machine's clock; `until` is when it was over."""

    what: str
    who: str
    since: float
    until: float


class Used(msgspec.Struct):
    """What one node's process used."""

    cpu: float  # seconds
    memory: int  # bytes resident at the end


class Record(msgspec.Struct):
    """All that verdicts and reports rest on."""

    plan: Plan
    load: Load
    specs: dict[str, ExecutorSpec]
    node_zones: list[str]
    executor_zones: list[str]
    begin: float  # ms on the machine's clock
    started: float = 0.0  # seconds that it took until all nodes were ready
    spans: list[Span] = []
    heard: list[tuple[float, str, str, str]] = []  # when, which node, of whom, their health
    used: dict[str, Used] = {}
    ended: dict[str, int] = {}  # nodes that ended unasked, or with a status other than 0
    behind: float = 0.0
    cpus: float = 0.0  # cores that the whole machine used on average
    asked: list[RequestRecord] = []
    ran: list[AttemptRecord] = []

    def node_names(self) -> list[str]:
        """The nodes, in the order of their numbers."""
        return [f"n{number:03d}" for number in range(self.plan.nodes)]

    def names(self) -> list[str]:
        """The executors, in the order of their numbers."""
        return list(self.specs)

    def write(self, folder: Path) -> None:
        """Keep it in a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "schedule.ini").write_text(self.plan.schedule.written())
        (folder / "record.json.gz").write_bytes(gzip.compress(msgspec.json.encode(self), 1))


def read(folder: Path) -> Record:
    """A record that was kept; ValueError where there is none."""
    try:
        return msgspec.json.decode(gzip.decompress((folder / "record.json.gz").read_bytes()), type=Record)
    except (OSError, EOFError, msgspec.DecodeError) as error:
        raise ValueError(f"{folder} holds no record of a run: {error}") from None
