"""The description of a simulated cluster."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from burlmoor.testbed.executor_model import ExecutorSpec

if TYPE_CHECKING:
    from burlmoor.types.settings import Settings

DEFAULT_EXECUTOR_SPEC = ExecutorSpec(
    cores=4.0,
    slots=4,
    queue_capacity=12,
    initial_capacity_fraction=0.2,
    slow_start_ms=4000.0,
    progress_interval_ms=500.0,
)


class CancelEffect(Enum):
    """What cancelling an attempt frees at its executor."""

    NOTHING = "nothing"
    QUEUED = "queued"  # the attempt's place in the queue, if it has not started


class WeightSource(Enum):
    """How the endpoint list weights executors."""

    EQUAL = "equal"
    NOMINAL = "nominal"  # the number of cores
    LIVE = "live"  # the number of cores, reduced by the executor's current load


@dataclass(frozen=True)
class ClusterSpec:
    """A simulated cluster, whose executors and nodes are spread evenly over the zones."""

    settings: Settings
    zones: tuple[str, ...] = ("a",)
    executor_count: int = 6
    executor_spec: ExecutorSpec = DEFAULT_EXECUTOR_SPEC
    network_delay_ms: float = 2.0  # one way
    list_delay_ms: tuple[float, float] = (50.0, 400.0)  # range of the random delay until a node is notified
    cancel_effect: CancelEffect = CancelEffect.NOTHING
    weight_source: WeightSource = WeightSource.NOMINAL
    lost_response_fraction: float = 0.0  # of served attempts; the node never gets their result
    reset_fraction: float = 0.0  # of attempts whose connection breaks after the executor accepted them
