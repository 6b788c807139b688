"""`burlmoor try` and `burlmoor load`."""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

import click
import trio
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.event_record import EventRecord
from burlmoor.testbed.job_classes import JOB_CLASSES, JobClass
from burlmoor.testbed.load import LoadGenerator, LoadReport, ProcessMeter, draw_arrivals
from burlmoor.testbed.local_cluster import executor_specs, local_cluster
from burlmoor.testbed.single_node import run_single_node, unbounded_executor_specs
from burlmoor.transport.stream import parse_address

_ERR = Console(stderr=True)


def written(report: LoadReport, title: str) -> Table:
    """A table of outcomes and latencies by class."""
    table = Table(title=title)
    counted = ("served", "refused", "failed", "no answer")
    heads = ("class", "asked", *counted, "p50 ms", "p90 ms", "p99 ms", "max ms")
    for head in heads:
        table.add_column(head, justify="left" if head == "class" else "right", no_wrap=head == "class")
    for name, tally in [*sorted(report.by_class.items()), ("all", report.total)]:
        counts = [tally.total, *(tally.outcomes[each] for each in counted)]
        times = [f"{tally.latency_percentile_ms(each):.0f}" for each in (50.0, 90.0, 99.0, 100.0)]
        table.add_row(name, *map(str, counts), *times)
    return table


def bar() -> Progress:
    """A progress bar on standard error."""
    return Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn(), console=_ERR
    )


def told(figures: dict[str, Any], sink: IO[str] | None) -> None:
    """Write figures as JSON where they are asked for."""
    if sink is not None:
        sink.write(json.dumps(figures, indent=2) + "\n")


async def _tried(rate: float, seconds: float, seed: int, executors: int, folder: Path) -> LoadReport:
    arrivals = draw_arrivals(rate, seconds, JOB_CLASSES, seed)
    with bar() as progress:
        task = progress.add_task("starting", total=len(arrivals))
        async with local_cluster(folder, executor_specs(executors)) as made:
            progress.update(task, description="jobs answered")
            meter = ProcessMeter(made.nodes[0].pid)
            generator = LoadGenerator(made.clients, "try")
            report = await generator.run(arrivals, lambda n: progress.advance(task, n))
            meter.read_into(report)
    return report


_Option = Callable[[Callable[..., Any]], Callable[..., Any]]


def _number(*names: str, default: float, least: float, most: float, help: str) -> _Option:
    kind: Any = click.IntRange if isinstance(default, int) else click.FloatRange
    return click.option(*names, default=default, show_default=True, type=kind(least, most), help=help)


_SECONDS = _number("--seconds", default=8.0, least=1.0, most=3600.0, help="How long jobs come.")
_RATE = _number("--rate", default=40.0, least=0.1, most=10_000.0, help="Jobs a second.")
_SEED = _number("--seed", default=1, least=0, most=2**31, help="Of the jobs that are drawn.")
_SINK = click.option(
    "--json", "sink", type=click.File("w"), help="Write figures there; - is standard output."
)


@click.command("try")
@_SECONDS
@_RATE
@_SEED
@_number("--executors", default=6, least=1, most=100, help="Stand-in executors.")
@_SINK
def try_(seconds: float, rate: float, seed: int, executors: int, sink: IO[str] | None) -> None:
    """A whole installation on loopback: discovery, executors, one node, clients. Needs no file."""
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
        report = trio.run(_tried, rate, seconds, seed, executors, Path(folder))
    _ERR.print(written(report, f"{rate:g} jobs/s for {seconds:g} s on {executors} executors"))
    cpu = report.cpu_ms / max(1, report.total.total)
    _ERR.print(f"The node used {cpu:.2f} ms of CPU a job and {report.memory_bytes / 2**20:.0f} MiB.")
    told(report.to_json_object(), sink)
    if report.total.outcomes["no answer"]:
        sys.exit(1)


async def _loaded(to: tuple[str, int], pid: int | None, rate: float, seconds: float, seed: int,
                  kinds: tuple[JobClass, ...]) -> LoadReport:  # fmt: skip
    arrivals = draw_arrivals(rate, seconds, kinds, seed)
    with bar() as progress:
        task = progress.add_task(f"{rate:g} jobs/s", total=len(arrivals))
        clients = ClientPool(to, EventRecord())
        meter = ProcessMeter(pid) if pid is not None else None
        report = await LoadGenerator([clients], f"load{seed}").run(
            arrivals, lambda n: progress.advance(task, n)
        )
        if meter is not None:
            meter.read_into(report)
        clients.close()
    return report


async def _own(
    rate: float, seconds: float, seed: int, executors: int, run_ms: float, folder: Path
) -> LoadReport:
    kinds = tuple(kind._replace(mean_work_ms=run_ms) for kind in JOB_CLASSES)
    async with run_single_node(unbounded_executor_specs(executors), kinds, folder) as node:
        return await _loaded(node.address, node.pid, rate, seconds, seed, kinds)


@click.command()
@click.option(
    "--to", metavar="HOST:PORT", help="A node that runs. [default: one of our own, with room for all]"
)
@click.option("--pid", type=int, help="The process of the node, for its CPU and memory.")
@_RATE
@_SECONDS
@_number(
    "--run-ms", default=50.0, least=0.1, most=60_000.0, help="How long a job runs on a core, on average."
)
@_number("--executors", default=14, least=1, most=1000, help="Of our own.")
@_SEED
@_SINK
def load(
    to: str | None, pid: int | None, rate: float, seconds: float, run_ms: float, executors: int, seed: int,
    sink: IO[str] | None,
) -> None:  # fmt: skip
    """An open-loop load on one node: latency from the intended start, outcomes, the node's CPU a job."""
    if to is not None:
        try:
            where = parse_address(to)
        except ValueError as error:
            raise click.BadParameter(str(error), param_hint="--to") from error
        kinds = tuple(kind._replace(mean_work_ms=run_ms) for kind in JOB_CLASSES)
        report = trio.run(_loaded, where, pid, rate, seconds, seed, kinds)
    else:
        with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
            report = trio.run(_own, rate, seconds, seed, executors, run_ms, Path(folder))
    _ERR.print(written(report, f"{rate:g} jobs/s for {seconds:g} s"))
    _ERR.print(f"generator behind by {report.max_lag_ms:.1f} ms at most")
    if report.cpu_ms:
        _ERR.print(f"node: {report.cpu_ms / max(1, report.total.total):.3f} ms of CPU a job, "
                   f"{report.memory_bytes / 2**20:.0f} MiB")  # fmt: skip
    told(report.to_json_object(), sink)
    if report.total.outcomes["no answer"]:
        sys.exit(1)
