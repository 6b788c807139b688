"""`burlmoor fleet run` and `burlmoor fleet report`."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import IO

import click
import trio
from rich.console import Console

from burlmoor.cli.drill import told
from burlmoor.cli.main import complain
from burlmoor.testbed.drill import Verdict
from burlmoor.testbed.fleet import record as records
from burlmoor.testbed.fleet.random_schedule import draw_schedule
from burlmoor.testbed.fleet.run import Fleet
from burlmoor.testbed.fleet.schedule_file import parse_schedule
from burlmoor.testbed.fleet.verdict import assess_run


@click.group()
def fleet() -> None:
    """Many node processes on loopback, stand-ins round them, and faults between them."""


def _verdict(record: records.RunRecord) -> Verdict:
    judged = assess_run(record)
    verdict = Verdict("fleet", record.plan.seed, record.plan.seconds, judged.claims(), judged.figures())
    for line in judged.audit.violations[:20]:
        print(f"burlmoor: {line}", file=sys.stderr)
    return verdict


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
    "--troubles", default=0, show_default=True, help="How many to draw, where no SCHEDULE is given."
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
    troubles: int,
    keep: Path | None,
    sink: IO[str] | None,
) -> None:
    """Play a SCHEDULE of troubles (INI), and say what was found: status 1 where a claim did not hold."""
    try:
        wanted = (
            parse_schedule(schedule.read_text())
            if schedule is not None
            else draw_schedule(seed, seconds, troubles)
        )
    except (ValueError, UnicodeDecodeError) as error:
        complain([f"{schedule}: {error}"])
        return
    plan = records.RunPlan(
        nodes,
        executors,
        seconds,
        seed,
        rate,
        load,
        zones,
        first_node_factor=loud,
        key_count=keys,
        hot_key_share=hot,
        schedule=wanted,
    )
    console = Console(stderr=True)
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
        played = Fleet(plan, keep or Path(folder), lambda line: console.print(line, style="dim"))
        record = trio.run(played.run)
        record.write(keep or Path(folder))
    verdict = _verdict(record)
    console.print(
        f"nodes ready after {record.startup_seconds:.1f} s; {record.cores_used:.1f} cores used", style="dim"
    )
    told(verdict)
    if sink is not None:
        sink.write(json.dumps(verdict.to_json_object(), indent=2) + "\n")
    sys.exit(0 if verdict.holds else 1)


@fleet.command()
@click.argument("run", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="The picture; RUN/report.png.")
def report(run: Path, out: Path | None) -> None:
    """Draw the record that a RUN has kept, and tell its figures again."""
    from burlmoor.testbed.fleet.report import draw_report  # noqa: PLC0415

    try:
        record = records.read_record(run)
    except ValueError as error:
        complain([str(error)])
        return
    path = out or run / "report.png"
    draw_report(record, path)
    told(_verdict(record))
    print(path)
