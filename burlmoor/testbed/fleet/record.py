"""The record of a run: its plan, its faults, and what clients and executors observed, stored in one folder.

`msgspec.field(name=...)` gives the name of a field in stored records where it differs from the attribute.
"""

from __future__ import annotations

import gzip
from typing import TYPE_CHECKING

import msgspec
from msgspec import UNSET, UnsetType

from burlmoor.errors import BurlmoorError
from burlmoor.testbed.event_record import AttemptRecord, RequestRecord
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.fleet.addresses import node_name
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.fault_selectors import Population
from burlmoor.testbed.fleet.faults import FaultSchedule
from burlmoor.testbed.fleet.load import Load
from burlmoor.testbed.fleet.schedule_file import format_schedule
from burlmoor.testbed.notification_log import Notification

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

LINKS_SUBJECT = "links"  # the subject of every link fault's interval
_DEFAULT_DESCRIPTOR_LIMIT = 1024
_SCHEDULE_FILE = "schedule.ini"
_RECORD_FILE = "record.json.gz"


class RecordError(BurlmoorError, ValueError):
    """A folder holds no readable record of a run."""

    def __init__(self, folder: Path, reason: Exception) -> None:
        super().__init__(f"{folder} holds no record of a run: {reason}")
        self.folder = folder


class RunPlan(msgspec.Struct):
    """The parameters of a run."""

    nodes: int
    executors: int
    seconds: float
    seed: int
    rate: float  # jobs per second
    utilization: float = msgspec.field(default=0.7, name="load")  # offered load / capacity after slow start
    zones: int = 1
    skew: float = 0.5  # sigma of the logarithm of a node's share of the jobs
    first_node_factor: float = msgspec.field(default=1.0, name="loud")
    hot_key_fraction: float = msgspec.field(default=0.0, name="hot")
    key_count: int = msgspec.field(default=0, name="keys")
    mutation: str | None = msgspec.field(default=None, name="sabotage")
    schedule: FaultSchedule = FaultSchedule(0)
    # Omitted from the record if unset, as in records that were stored before these fields existed.
    hedging: bool | UnsetType = msgspec.field(default=UNSET, name="second_copies")
    sockets: int | UnsetType = UNSET
    # The window for repeats of the jobs with idempotency keys; unset: no job has a key.
    repeat_window_ms: float | UnsetType = msgspec.field(default=UNSET, name="repeat_window")

    @property
    def may_hedge(self) -> bool:
        """Whether two attempts of a job may be open at once."""
        return self.hedging is UNSET or self.hedging

    @property
    def descriptor_limit(self) -> int:
        """The number of file descriptors that each node may have open."""
        return _DEFAULT_DESCRIPTOR_LIMIT if self.sockets is UNSET else self.sockets


class FaultInterval(msgspec.Struct):
    """The time of a fault at one node or executor, in ms on the machine's clock."""

    kind: FaultKind = msgspec.field(name="what")
    subject: str = msgspec.field(name="who")  # the name of the node or executor, or LINKS_SUBJECT
    start_ms: float = msgspec.field(name="since")
    end_ms: float = msgspec.field(name="until")


class ResourceUsage(msgspec.Struct):
    """The CPU time and memory that a node process used."""

    cpu_seconds: float = msgspec.field(name="cpu")
    memory_bytes: int = msgspec.field(name="memory")  # resident at the end


class RunRecord(msgspec.Struct):
    """Everything that verdicts and reports are computed from."""

    plan: RunPlan
    load: Load
    specs: dict[str, ExecutorSpec]
    node_zones: list[str]
    executor_zones: list[str]
    start_ms: float = msgspec.field(name="begin")  # on the machine's clock
    startup_seconds: float = msgspec.field(default=0.0, name="started")  # until all nodes were ready
    fault_intervals: list[FaultInterval] = msgspec.field(default_factory=list, name="spans")
    notifications: list[Notification] = msgspec.field(default_factory=list, name="heard")
    resource_usage: dict[str, ResourceUsage] = msgspec.field(default_factory=dict, name="used")
    # By node, with the occasion for some ("n003 on restart"): the exit status of a node that ended without
    # being stopped, or with a status other than 0. 1 also stands for a node that did not end in time.
    unexpected_exits: dict[str, int] = msgspec.field(default_factory=dict, name="ended")
    max_send_delay_ms: float = msgspec.field(default=0.0, name="behind")  # of a job, past its due time
    cores_used: float = msgspec.field(default=0.0, name="cpus")  # mean of the whole machine during the load
    requests: list[RequestRecord] = msgspec.field(default_factory=list, name="asked")
    attempts: list[AttemptRecord] = msgspec.field(default_factory=list, name="ran")

    def node_names(self) -> list[str]:
        """Return the names of the nodes, in the order of their numbers."""
        return [node_name(number) for number in range(self.plan.nodes)]

    def executor_names(self) -> list[str]:
        """Return the names of the executors, in the order of their numbers."""
        return list(self.specs)

    def executor_specs(self) -> Sequence[ExecutorSpec]:
        """Return the specifications of the executors, in the order of their numbers."""
        return list(self.specs.values())

    def node_population(self) -> Population:
        """Return the nodes as a population that fault selectors select from."""
        return Population(self.node_names(), self.node_zones)

    def executor_population(self) -> Population:
        """Return the executors as a population that fault selectors select from."""
        return Population(self.executor_names(), self.executor_zones)

    def write(self, folder: Path) -> None:
        """Write the record and its schedule to a folder, which is created if it does not exist."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / _SCHEDULE_FILE).write_text(format_schedule(self.plan.schedule))
        (folder / _RECORD_FILE).write_bytes(gzip.compress(msgspec.json.encode(self), 1))


def read_record(folder: Path) -> RunRecord:
    """Return the record that is stored in a folder.

    Raises:
        RecordError: the folder holds no readable record.
    """
    try:
        return msgspec.json.decode(gzip.decompress((folder / _RECORD_FILE).read_bytes()), type=RunRecord)
    except (OSError, EOFError, msgspec.DecodeError) as error:
        raise RecordError(folder, error) from error
