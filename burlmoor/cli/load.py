"""The `burlmoor try` and `burlmoor load` commands."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import IO, Any

import click
import trio
from rich.table import Table

from burlmoor.cli.exit_status import ExitStatus
from burlmoor.cli.load_runs import Load, load_local_cluster, load_new_node, load_running_node
from burlmoor.cli.output import standard_error, write_json
from burlmoor.testbed.job_classes import JOB_CLASSES
from burlmoor.testbed.load import JobOutcome, LoadReport
from burlmoor.transport.address import parse_address

_PERCENTILES = (50.0, 90.0, 99.0, 100.0)

_Option = Callable[[Callable[..., Any]], Callable[..., Any]]


def _number_option(name: str, *, default: float, minimum: float, maximum: float, help_text: str) -> _Option:
    number_range: Any = click.IntRange if isinstance(default, int) else click.FloatRange
    return click.option(
        name, default=default, show_default=True, type=number_range(minimum, maximum), help=help_text
    )


_seconds_option = _number_option(
    "--seconds", default=8.0, minimum=1.0, maximum=3600.0, help_text="Duration in seconds."
)
_rate_option = _number_option(
    "--rate", default=40.0, minimum=0.1, maximum=10_000.0, help_text="Jobs per second."
)
_seed_option = _number_option(
    "--seed", default=1, minimum=0, maximum=2**31, help_text="Seed of the random jobs."
)
_json_option = click.option(
    "--json", "sink", type=click.File("w"), help="File for the figures as JSON; - is standard output."
)


@click.command("try")
@_seconds_option
@_rate_option
@_seed_option
@_number_option("--executors", default=6, minimum=1, maximum=100, help_text="Number of stand-in executors.")
@_json_option
def try_(seconds: float, rate: float, seed: int, executors: int, sink: IO[str] | None) -> None:
    """Run a complete local cluster on loopback: discovery, executors, one node, clients. Needs no files."""
    report = trio.run(load_local_cluster, Load(rate, seconds, seed), executors)
    console = standard_error()
    console.print(format_report(report, f"{rate:g} jobs/s for {seconds:g} s on {executors} executors"))
    usage = f"{report.cpu_ms_per_job:.2f} ms of CPU a job and {report.usage.memory_mib:.0f} MiB"
    console.print(f"The node used {usage}.")
    _finish(report, sink)


@click.command()
@click.option(
    "--to",
    metavar="HOST:PORT",
    help="A running node. [default: a new one, whose executors have unlimited capacity]",
)
@click.option("--pid", type=int, help="Process id of the running node, to measure its CPU time and memory.")
@_rate_option
@_seconds_option
@_number_option(
    "--run-ms",
    default=50.0,
    minimum=0.1,
    maximum=60_000.0,
    help_text="Mean time that a job runs on a core, in ms.",
)
@_number_option(
    "--executors", default=14, minimum=1, maximum=1000, help_text="Number of executors of a new node."
)
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
    """Put an open-loop load on one node; report latency from the intended start, outcomes and CPU per job."""
    job_classes = tuple(job_class._replace(mean_work_ms=run_ms) for job_class in JOB_CLASSES)
    plan = Load(rate, seconds, seed, job_classes)
    if to is not None:
        report = trio.run(load_running_node, plan, _parse_node_address(to), pid)
    else:
        report = trio.run(load_new_node, plan, executors)
    console = standard_error()
    console.print(format_report(report, f"{rate:g} jobs/s for {seconds:g} s"))
    console.print(f"generator behind by {report.max_lag_ms:.1f} ms at most")
    if report.usage.cpu_ms:
        usage = f"{report.cpu_ms_per_job:.3f} ms of CPU a job, {report.usage.memory_mib:.0f} MiB"
        console.print(f"node: {usage}")
    _finish(report, sink)


def _parse_node_address(text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--to") from error


def format_report(report: LoadReport, title: str) -> Table:
    """Return a table of outcomes and latencies, with one row per class."""
    table = Table(title=title)
    for heading in ("class", "asked", *JobOutcome, "p50 ms", "p90 ms", "p99 ms", "max ms"):
        is_class = heading == "class"
        table.add_column(heading, justify="left" if is_class else "right", no_wrap=is_class)
    for name, tally in [*sorted(report.by_class.items()), ("all", report.all_classes)]:
        counts = [tally.job_count, *(tally.outcomes[outcome] for outcome in JobOutcome)]
        latencies = [f"{tally.latency_percentile_ms(percentile):.0f}" for percentile in _PERCENTILES]
        table.add_row(name, *map(str, counts), *latencies)
    return table


def _finish(report: LoadReport, sink: IO[str] | None) -> None:
    """Write the figures to the sink, if any, and exit with `ExitStatus.FAILURE` if a job got no answer."""
    write_json(report.to_json_object(), sink)
    if report.all_classes.outcomes[JobOutcome.NO_ANSWER]:
        sys.exit(ExitStatus.FAILURE)
