"""The `burlmoor drill` command."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import IO

import click
import trio

from burlmoor.cli.output import exit_with_verdict
from burlmoor.testbed.drill import Drill, DrillParameters
from burlmoor.testbed.drill_deferred import DEFERRED
from burlmoor.testbed.drill_soak import SOAK
from burlmoor.testbed.drill_spread import SPREAD
from burlmoor.testbed.drill_watch import WATCH

DRILLS: dict[str, Drill] = {"waiting": DEFERRED, "spread": SPREAD, "watch": WATCH, "soak": SOAK}


@click.command()
@click.argument("name", type=click.Choice(sorted(DRILLS)))
@click.option(
    "--seconds",
    default=60.0,
    show_default=True,
    type=click.FloatRange(10.0, 3600.0),
    help="Duration in seconds.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of all random choices.")
@click.option(
    "--nodes",
    default=0,
    type=click.IntRange(0, 1000),
    help="Number of nodes, for drills that allow setting it; 0: the drill's default.",
)
@click.option("--sabotage", "mutation", help="Mutation of the node that must make the drill fail.")
@click.option(
    "--json", "sink", type=click.File("w"), help="File for the verdict as JSON; - is standard output."
)
def drill(
    name: str, seconds: float, seed: int, nodes: int, mutation: str | None, sink: IO[str] | None
) -> None:
    """Run a subsystem under failures on loopback; exit with status 1 if a claim does not hold."""
    chosen = DRILLS[name]
    _check_options(name, chosen, mutation, nodes)
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
        verdict = trio.run(chosen.run, DrillParameters(seconds, seed, mutation, nodes), Path(folder))
    exit_with_verdict(verdict, sink)


def _check_options(name: str, chosen: Drill, mutation: str | None, nodes: int) -> None:
    if mutation is not None and mutation not in chosen.mutations:
        problem = f"invalid value {mutation!r}; allowed: {', '.join(chosen.mutations)}"
        raise click.BadParameter(problem, param_hint="--sabotage")
    if nodes and not chosen.has_variable_node_count:
        problem = f"drill {name} has a fixed number of nodes"
        raise click.BadParameter(problem, param_hint="--nodes")
