"""`burlmoor fleet run` and `burlmoor fleet report`."""

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
from burlmoor.testbed.fleet.random_schedule import draw_schedule
from burlmoor.testbed.fleet.run import Fleet
from burlmoor.testbed.fleet.schedule_file import parse_schedule
from burlmoor.testbed.fleet.verdict import assess_run

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.faults import FaultSchedule


@click.group()
def fleet() -> None:
    """Run many node processes on loopback, stand-ins round them, and faults between them."""


@fleet.command()
@click.argument("schedule", required=False, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--nodes", default=20, show_default=True, type=click.IntRange(1, 1000))
@click.option("--executors", default=20, show_default=True, type=click.IntRange(1, 1000))
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(5.0, 3600.0))
@click.option("--seed", default=1, show_default=True, help="Of all that is drawn.")
@click.option("--rate", default=150.0, show_default=True, help="Jobs a second, over all nodes.")
@click.option("--load", default=0.7, show_default=True, help="Of what executors can do.")
@click.option("--zones", default=1, show_default=True, type=click.IntRange(1, 8))
@click.option("--hot", default=0.0, show_default=True, help="The share of jobs that one key has.")
@click.option("--keys", default=0, show_default=True, help="Keys that jobs share; 0: each its own.")
@click.option("--loud", default=1.0, show_default=True, help="How many times its share the first node gets.")
@click.option(
    "--troubles",
    "fault_count",
    default=0,
    show_default=True,
    help="How many to draw, where no SCHEDULE is given.",
)
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="Where to keep the record.")
@click.option("--json", "sink", type=click.File("w"), help="Write the verdict there; - is standard output.")
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
    """Run a fleet under a SCHEDULE of faults (INI); status 1 where a claim of the verdict did not hold."""
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
    verdict = _judge(record)
    print_status(f"nodes ready after {record.startup_seconds:.1f} s; {record.cores_used:.1f} cores used")
    exit_with_verdict(verdict, sink)


def _load_schedule(path: Path | None, seed: int, seconds: float, fault_count: int) -> FaultSchedule:
    """Read the schedule of faults from the file, or draw one at random if there is none."""
    try:
        if path is not None:
            return parse_schedule(path.read_text())
        return draw_schedule(seed, seconds, fault_count)
    except (ValueError, UnicodeDecodeError) as error:
        exit_with_errors([f"{path}: {error}"])


def _run_fleet(plan: records.RunPlan, folder: Path) -> records.RunRecord:
    """Run the fleet and write its record into the folder."""
    record = trio.run(Fleet(plan, folder, print_status).run)
    record.write(folder)
    return record


def _judge(record: records.RunRecord) -> Verdict:
    """Return the verdict on a record, and print the first violations."""
    judged = assess_run(record)
    print_violations(judged.audit.violations)
    return Verdict("fleet", record.plan.seed, record.plan.seconds, judged.claims(), judged.figures())


@fleet.command()
@click.argument("run", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="The picture; RUN/report.png.")
def report(run: Path, out: Path | None) -> None:
    """Draw the record that a RUN has kept, and print its verdict again."""
    from burlmoor.testbed.fleet.report import draw_report  # noqa: PLC0415

    try:
        record = records.read_record(run)
    except ValueError as error:
        exit_with_errors([str(error)])
    path = out or run / "report.png"
    draw_report(record, path)
    print_verdict(_judge(record))
    print(path)
