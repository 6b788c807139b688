"""The `burlmoor fleet run` and `burlmoor fleet report` commands."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import IO, TYPE_CHECKING

import click
import trio

from burlmoor.cli.errors import exit_with_errors
from burlmoor.cli.output import exit_with_verdict, print_status, print_verdict
from burlmoor.testbed.drill import Verdict, print_violations
from burlmoor.testbed.fleet import record as records
from burlmoor.testbed.fleet.random_schedule import draw_sequential_schedule
from burlmoor.testbed.fleet.run import Fleet
from burlmoor.testbed.fleet.schedule_file import parse_schedule
from burlmoor.testbed.fleet.verdict import assess_run

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.faults import FaultSchedule


@click.group()
def fleet() -> None:
    """Run many node processes on loopback with stand-in discovery, executors and clients; inject faults."""


@fleet.command()
@click.argument("schedule", required=False, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--nodes", default=20, show_default=True, type=click.IntRange(1, 1000))
@click.option("--executors", default=20, show_default=True, type=click.IntRange(1, 1000))
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(5.0, 3600.0))
@click.option("--seed", default=1, show_default=True, help="Seed of all random choices.")
@click.option("--rate", default=150.0, show_default=True, help="Jobs per second, over all nodes.")
@click.option("--load", default=0.7, show_default=True, help="Load as a fraction of the executors' capacity.")
@click.option("--zones", default=1, show_default=True, type=click.IntRange(1, 8))
@click.option("--hot", default=0.0, show_default=True, help="Fraction of jobs that share one affinity key.")
@click.option(
    "--keys",
    default=0,
    show_default=True,
    help="Number of affinity keys that jobs share; 0: each job has its own.",
)
@click.option(
    "--loud",
    default=1.0,
    show_default=True,
    help="How many times as many jobs the first node gets as each other node.",
)
@click.option(
    "--troubles",
    "fault_count",
    default=0,
    show_default=True,
    help="Number of faults to draw at random if there is no SCHEDULE.",
)
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="Directory to keep the record in."
)
@click.option(
    "--json", "sink", type=click.File("w"), help="File for the verdict as JSON; - is standard output."
)
def run(
    schedule: Path | None,
    nodes: int,
    executors: int,
    seconds: float,
    seed: int,
    rate: float,
    load: float,
    zones: int,
    hot: float,
    keys: int,
    loud: float,
    fault_count: int,
    keep: Path | None,
    sink: IO[str] | None,
) -> None:
    """Run a fleet under a SCHEDULE of faults (INI); exit with status 1 if a claim does not hold."""
    plan = records.RunPlan(
        nodes=nodes,
        executors=executors,
        seconds=seconds,
        seed=seed,
        rate=rate,
        utilization=load,
        zones=zones,
        first_node_factor=loud,
        key_count=keys,
        hot_key_fraction=hot,
        schedule=_load_schedule(schedule, seed, seconds, fault_count),
    )
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
        record = _run_fleet(plan, keep or Path(folder))
    verdict = _assess(record)
    print_status(f"nodes ready after {record.startup_seconds:.1f} s; {record.cores_used:.1f} cores used")
    exit_with_verdict(verdict, sink)


def _load_schedule(path: Path | None, seed: int, seconds: float, fault_count: int) -> FaultSchedule:
    """Read the schedule of faults from the file, or draw one at random if there is none."""
    try:
        if path is not None:
            return parse_schedule(path.read_text())
        return draw_sequential_schedule(seed, seconds, fault_count)
    except (ValueError, UnicodeDecodeError) as error:
        exit_with_errors([f"{path}: {error}"])


def _run_fleet(plan: records.RunPlan, folder: Path) -> records.RunRecord:
    """Run the fleet and write its record into the folder."""
    record = trio.run(Fleet(plan, folder, print_status).run)
    record.write(folder)
    return record


def _assess(record: records.RunRecord) -> Verdict:
    """Assess a run: print its first violations and return the verdict."""
    assessment = assess_run(record)
    print_violations(assessment.audit.violations)
    return Verdict("fleet", record.plan.seed, record.plan.seconds, assessment.claims(), assessment.figures())


@fleet.command()
@click.argument("run", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), help="Image file. [default: RUN/report.png]"
)
def report(run: Path, out: Path | None) -> None:
    """Plot the record kept in the directory RUN, and print its verdict."""
    from burlmoor.testbed.fleet.report import plot_report  # noqa: PLC0415

    try:
        record = records.read_record(run)
    except ValueError as error:
        exit_with_errors([str(error)])
    path = out or run / "report.png"
    plot_report(record, path)
    print_verdict(_assess(record))
    print(path)
