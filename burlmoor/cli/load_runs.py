"""Puts a load on a new local cluster, a new node or a running node, and shows a progress bar."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from burlmoor.cli.output import standard_error
from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.event_record import EventRecord
from burlmoor.testbed.job_classes import JOB_CLASSES, JobClass
from burlmoor.testbed.load import Arrival, LoadGenerator, LoadReport, ProcessMeter, draw_arrivals
from burlmoor.testbed.local_cluster import executor_specs, local_cluster
from burlmoor.testbed.single_node import run_single_node, unbounded_executor_specs

if TYPE_CHECKING:
    from collections.abc import Sequence


class Load(NamedTuple):
    """A load as specified on the command line."""

    rate: float  # jobs per second
    seconds: float
    seed: int
    job_classes: Sequence[JobClass] = JOB_CLASSES

    def draw_arrivals(self) -> list[Arrival]:
        """Draw the arrivals of jobs; the same seed gives the same arrivals."""
        return draw_arrivals(self.rate, self.seconds, self.job_classes, self.seed)


async def load_local_cluster(load: Load, executors: int) -> LoadReport:
    """Start a complete local cluster, and put the load on its node."""
    arrivals = load.draw_arrivals()
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder, _progress_bar() as progress:
        task = progress.add_task("starting", total=len(arrivals))
        async with local_cluster(Path(folder), executor_specs(executors)) as cluster:
            progress.update(task, description="jobs answered")
            meter = ProcessMeter(cluster.nodes[0].pid)
            generator = LoadGenerator(cluster.clients, "try")
            report = await generator.run(arrivals, lambda count: progress.advance(task, count))
            report.usage = meter.read()
    return report


async def load_new_node(load: Load, executors: int) -> LoadReport:
    """Start a node with executors of unlimited capacity, and put the load on it."""
    specs = unbounded_executor_specs(executors)
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
        async with run_single_node(specs, load.job_classes, Path(folder)) as node:
            return await load_running_node(load, node.address, node.pid)


async def load_running_node(load: Load, address: tuple[str, int], pid: int | None) -> LoadReport:
    """Put the load on the node at this address; measure its CPU time and memory if `pid` is given."""
    arrivals = load.draw_arrivals()
    with _progress_bar() as progress:
        task = progress.add_task(f"{load.rate:g} jobs/s", total=len(arrivals))
        clients = ClientPool(address, EventRecord())
        meter = ProcessMeter(pid) if pid is not None else None
        generator = LoadGenerator([clients], f"load{load.seed}")
        report = await generator.run(arrivals, lambda count: progress.advance(task, count))
        if meter is not None:
            report.usage = meter.read()
        clients.close()
    return report


def _progress_bar() -> Progress:
    """Return a progress bar on standard error."""
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=standard_error(),
    )
