"""`burlmoor drill NAME`."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import IO

import click
import trio
from rich.console import Console
from rich.table import Table

from burlmoor.testbed.drill import Drill, DrillParameters, Verdict
from burlmoor.testbed.drill_deferred import WAITING
from burlmoor.testbed.drill_spread import SPREAD
from burlmoor.testbed.drill_watch import WATCH

DRILLS: dict[str, Drill] = {"waiting": WAITING, "spread": SPREAD, "watch": WATCH}


def told(verdict: Verdict) -> None:
    """Print a verdict as a table."""
    table = Table(
        title=f"drill {verdict.drill}, seed {verdict.seed}: {'held' if verdict.holds else 'NOT HELD'}"
    )
    for head in ("claim", "value", "bound", ""):
        table.add_column(head, justify="left" if head == "claim" else "right")
    for name, claim in verdict.claims.items():
        bound = f"{'≥' if claim.is_lower_bound else '≤'} {claim.bound:g}"
        table.add_row(name, f"{claim.value:.4g}", bound, "held" if claim.holds else "NOT HELD")
    for name, value in verdict.figures.items():
        table.add_row(name, f"{value:.4g}", "", "", style="dim")
    Console(stderr=True).print(table)


@click.command()
@click.argument("name", type=click.Choice(sorted(DRILLS)))
@click.option(
    "--seconds", default=60.0, show_default=True, type=click.FloatRange(10.0, 3600.0), help="How long."
)
@click.option("--seed", default=1, show_default=True, help="Of all that is drawn.")
@click.option(
    "--nodes", default=0, type=click.IntRange(0, 1000), help="How many, where a drill has a choice."
)
@click.option("--sabotage", help="A fault of the node, with which the drill must fail.")
@click.option("--json", "sink", type=click.File("w"), help="Write the verdict there; - is standard output.")
def drill(
    name: str, seconds: float, seed: int, nodes: int, sabotage: str | None, sink: IO[str] | None
) -> None:
    """A subsystem under its failures on loopback, and the verdict: status 1 where a claim did not hold."""
    chosen = DRILLS[name]
    if sabotage is not None and sabotage not in chosen.mutations:
        known = ", ".join(chosen.mutations)
        raise click.BadParameter(f"{sabotage!r} is none of: {known}", param_hint="--sabotage")
    if nodes and not chosen.is_sizable:
        raise click.BadParameter(f"the drill {name} has its own number", param_hint="--nodes")
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
        verdict = trio.run(chosen.run, DrillParameters(seconds, seed, sabotage, nodes), Path(folder))
    told(verdict)
    if sink is not None:
        sink.write(json.dumps(verdict.to_json_object(), indent=2) + "\n")
    sys.exit(0 if verdict.holds else 1)
