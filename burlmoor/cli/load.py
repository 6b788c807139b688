"""`burlmoor try` and `burlmoor load`."""

from __future__ import annotations

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

from burlmoor.cli.output import write_json
from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.event_record import EventRecord
from burlmoor.testbed.job_classes import JOB_CLASSES, JobClass
from burlmoor.testbed.load import JobOutcome, LoadGenerator, LoadReport, ProcessMeter, draw_arrivals
from burlmoor.testbed.local_cluster import executor_specs, local_cluster
from burlmoor.testbed.single_node import run_single_node, unbounded_executor_specs
from burlmoor.transport.address import parse_address

_ERR = Console(stderr=True)
_PERCENTILES = (50.0, 90.0, 99.0, 100.0)

_Option = Callable[[Callable[..., Any]], Callable[..., Any]]


def _number_option(name: str, *, default: float, minimum: float, maximum: float, help_text: str) -> _Option:
    number_range: Any = click.IntRange if isinstance(default, int) else click.FloatRange
    return click.option(
        name, default=default, show_default=True, type=number_range(minimum, maximum), help=help_text
    )


_seconds_option = _number_option(
    "--seconds", default=8.0, minimum=1.0, maximum=3600.0, help_text="How long jobs come."
)
_rate_option = _number_option(
    "--rate", default=40.0, minimum=0.1, maximum=10_000.0, help_text="Jobs a second."
)
_seed_option = _number_option(
    "--seed", default=1, minimum=0, maximum=2**31, help_text="Of the jobs that are drawn."
)
_json_option = click.option(
    "--json", "sink", type=click.File("w"), help="Write figures there; - is standard output."
)


@click.command("try")
@_seconds_option
@_rate_option
@_seed_option
@_number_option("--executors", default=6, minimum=1, maximum=100, help_text="Stand-in executors.")
@_json_option
def try_(seconds: float, rate: float, seed: int, executors: int, sink: IO[str] | None) -> None:
    """Run a whole installation on loopback: discovery, executors, one node, clients. Needs no file."""
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
        report = trio.run(_load_new_installation, rate, seconds, seed, executors, Path(folder))
    _ERR.print(format_report(report, f"{rate:g} jobs/s for {seconds:g} s on {executors} executors"))
    memory_mib = report.usage.memory_bytes / 2**20
    _ERR.print(f"The node used {_cpu_ms_per_job(report):.2f} ms of CPU a job and {memory_mib:.0f} MiB.")
    _finish(report, sink)


@click.command()
@click.option(
    "--to", metavar="HOST:PORT", help="A node that runs. [default: one of our own, with room for all]"
)
@click.option("--pid", type=int, help="The process of the node, for its CPU and memory.")
@_rate_option
@_seconds_option
@_number_option(
    "--run-ms",
    default=50.0,
    minimum=0.1,
    maximum=60_000.0,
    help_text="How long a job runs on a core, on average.",
)
@_number_option("--executors", default=14, minimum=1, maximum=1000, help_text="Of our own.")
@_seed_option
@_json_option
def load(
    to: str | None,
    pid: int | None,
    rate: float,
    seconds: float,
    run_ms: float,
    executors: int,
    seed: int,
    sink: IO[str] | None,
) -> None:
    """Put an open-loop load on one node: latency from the intended start, outcomes, the node's CPU a job."""
    kinds = tuple(kind._replace(mean_work_ms=run_ms) for kind in JOB_CLASSES)
    if to is not None:
        address = _parse_node_address(to)
        report = trio.run(_load_node, address, pid, rate, seconds, seed, kinds)
    else:
        with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
            report = trio.run(_load_own_node, rate, seconds, seed, executors, kinds, Path(folder))
    _ERR.print(format_report(report, f"{rate:g} jobs/s for {seconds:g} s"))
    _ERR.print(f"generator behind by {report.max_lag_ms:.1f} ms at most")
    if report.usage.cpu_ms:
        memory_mib = report.usage.memory_bytes / 2**20
        _ERR.print(f"node: {_cpu_ms_per_job(report):.3f} ms of CPU a job, {memory_mib:.0f} MiB")
    _finish(report, sink)


def _parse_node_address(text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--to") from error


async def _load_new_installation(
    rate: float, seconds: float, seed: int, executors: int, folder: Path
) -> LoadReport:
    """Start an installation and load its node."""
    arrivals = draw_arrivals(rate, seconds, JOB_CLASSES, seed)
    with _progress_bar() as progress:
        task = progress.add_task("starting", total=len(arrivals))
        async with local_cluster(folder, executor_specs(executors)) as made:
            progress.update(task, description="jobs answered")
            meter = ProcessMeter(made.nodes[0].pid)
            generator = LoadGenerator(made.clients, "try")
            report = await generator.run(arrivals, lambda count: progress.advance(task, count))
            report.usage = meter.read()
    return report


async def _load_own_node(
    rate: float, seconds: float, seed: int, executors: int, kinds: tuple[JobClass, ...], folder: Path
) -> LoadReport:
    """Start a node with enough executors and load it."""
    async with run_single_node(unbounded_executor_specs(executors), kinds, folder) as node:
        return await _load_node(node.address, node.pid, rate, seconds, seed, kinds)


async def _load_node(
    address: tuple[str, int],
    pid: int | None,
    rate: float,
    seconds: float,
    seed: int,
    kinds: tuple[JobClass, ...],
) -> LoadReport:
    """Load the node at the address; with its process id, its CPU and memory are measured."""
    arrivals = draw_arrivals(rate, seconds, kinds, seed)
    with _progress_bar() as progress:
        task = progress.add_task(f"{rate:g} jobs/s", total=len(arrivals))
        clients = ClientPool(address, EventRecord())
        meter = ProcessMeter(pid) if pid is not None else None
        generator = LoadGenerator([clients], f"load{seed}")
        report = await generator.run(arrivals, lambda count: progress.advance(task, count))
        if meter is not None:
            report.usage = meter.read()
        clients.close()
    return report


def _progress_bar() -> Progress:
    """Return a progress bar on standard error."""
    return Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn(), console=_ERR
    )


def format_report(report: LoadReport, title: str) -> Table:
    """Return a table of outcomes and latencies by class."""
    table = Table(title=title)
    for heading in ("class", "asked", *JobOutcome, "p50 ms", "p90 ms", "p99 ms", "max ms"):
        is_class = heading == "class"
        table.add_column(heading, justify="left" if is_class else "right", no_wrap=is_class)
    for name, tally in [*sorted(report.by_class.items()), ("all", report.all_classes)]:
        counts = [tally.job_count, *(tally.outcomes[outcome] for outcome in JobOutcome)]
        latencies = [f"{tally.latency_percentile_ms(percentile):.0f}" for percentile in _PERCENTILES]
        table.add_row(name, *map(str, counts), *latencies)
    return table


def _cpu_ms_per_job(report: LoadReport) -> float:
    return report.usage.cpu_ms / max(1, report.all_classes.job_count)


def _finish(report: LoadReport, sink: IO[str] | None) -> None:
    """Write the figures where they are asked for; exit with status 1 if a job got no answer."""
    write_json(report.to_json_object(), sink)
    if report.all_classes.outcomes[JobOutcome.NO_ANSWER]:
        sys.exit(1)
