"""`burlmoor run` and `burlmoor check`."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from burlmoor.cli.main import complain, environment, existing

_CONFIG = existing("The node's configuration, JSON. [default: $RELAY_CONFIG]")
_OPTIONS = existing("The operators' options, INI. [default: $BURLMOOR_OPTIONS, else all is off]")


@click.command()
@click.option("--config", **_CONFIG)  # type: ignore[arg-type]
@click.option("--options", **_OPTIONS)  # type: ignore[arg-type]
def run(config: Path | None, options: Path | None) -> None:
    """Run one node until it is told to stop (SIGTERM); SIGHUP reads its files again."""
    environment(config, options)
    from burlmoor.lifecycle.node import main  # noqa: PLC0415 - a check needs no node

    sys.exit(main())


@click.command()
@click.option("--config", **_CONFIG)  # type: ignore[arg-type]
@click.option("--options", **_OPTIONS)  # type: ignore[arg-type]
def check(config: Path | None, options: Path | None) -> None:
    """Whether the files can be meant: status 2, and a line a fault on standard error, if not."""
    environment(config, options)
    from burlmoor.config import node_config as reading  # noqa: PLC0415

    told = [name for name in ("RELAY_CONFIG", "BURLMOOR_OPTIONS") if os.environ.get(name)]
    if not told:
        complain(["nothing to check: name a file with --config or --options"])
    faults: list[str] = []
    for name, read in (("RELAY_CONFIG", reading.load_config), ("BURLMOOR_OPTIONS", reading.load_options)):
        if name in told:
            try:
                # The configuration is judged without the options, so that each fault is told once.
                read({key: text for key, text in os.environ.items() if key not in told or key == name})
            except reading.InvalidConfigError as error:
                faults += str(error).splitlines()
    if faults:
        complain(faults)
    click.echo(f"{' and '.join(os.environ[name] for name in told)}: good")
