"""`burlmoor drill NAME`."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import IO

import click
import trio

from burlmoor.cli.output import exit_with_verdict
from burlmoor.testbed.drill import Drill, DrillParameters
from burlmoor.testbed.drill_deferred import WAITING
from burlmoor.testbed.drill_soak import SOAK
from burlmoor.testbed.drill_spread import SPREAD
from burlmoor.testbed.drill_watch import WATCH

DRILLS: dict[str, Drill] = {"waiting": WAITING, "spread": SPREAD, "watch": WATCH, "soak": SOAK}


@click.command()
@click.argument("name", type=click.Choice(sorted(DRILLS)))
@click.option(
    "--seconds", default=60.0, show_default=True, type=click.FloatRange(10.0, 3600.0), help="How long."
)
@click.option("--seed", default=1, show_default=True, help="Of all that is drawn.")
@click.option(
    "--nodes", default=0, type=click.IntRange(0, 1000), help="How many, where a drill has a choice."
)
@click.option("--sabotage", "mutation", help="A fault of the node, with which the drill must fail.")
@click.option("--json", "sink", type=click.File("w"), help="Write the verdict there; - is standard output.")
def drill(
    name: str, seconds: float, seed: int, nodes: int, mutation: str | None, sink: IO[str] | None
) -> None:
    """Run a subsystem under failures on loopback; status 1 where a claim of the verdict did not hold."""
    chosen = DRILLS[name]
    _check_options(name, chosen, mutation, nodes)
    with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
        verdict = trio.run(chosen.run, DrillParameters(seconds, seed, mutation, nodes), Path(folder))
    exit_with_verdict(verdict, sink)


def _check_options(name: str, chosen: Drill, mutation: str | None, nodes: int) -> None:
    if mutation is not None and mutation not in chosen.mutations:
        problem = f"invalid value {mutation!r}; allowed: {', '.join(chosen.mutations)}"
        raise click.BadParameter(problem, param_hint="--sabotage")
    if nodes and not chosen.is_sizable:
        problem = f"the drill {name} has its own number"
        raise click.BadParameter(problem, param_hint="--nodes")
