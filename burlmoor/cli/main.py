"""The `burlmoor` command: one group, each verb imported only when it is used.

Exit status: 0 well, 1 it failed or a claim did not hold, 2 bad usage or configuration.
"""

from __future__ import annotations

import importlib
import os
import sys
from pathlib import Path

import click

_VERBS = {
    "try": "burlmoor.cli.load:try_",
    "run": "burlmoor.cli.node:run",
    "check": "burlmoor.cli.node:check",
    "load": "burlmoor.cli.load:load",
    "drill": "burlmoor.cli.drill:drill",
    "fleet": "burlmoor.cli.fleet:fleet",
}


class _Verbs(click.Group):
    """Owns the table of verbs."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The verbs, in the order in which a newcomer meets them."""
        return list(_VERBS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """A verb, imported now."""
        if cmd_name not in _VERBS:
            return None
        module, _, name = _VERBS[cmd_name].partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(cls=_Verbs, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="burlmoor", message="%(version)s")
def main() -> None:
    """A balancer that passes jobs to executors and gives each client exactly one final answer."""


def existing(help_text: str) -> dict[str, object]:
    """What an option that names a file takes."""
    return {"type": click.Path(exists=True, dir_okay=False, path_type=Path), "help": help_text}


def complain(lines: list[str]) -> None:
    """End with status 2, a line a fault on standard error."""
    for line in lines:
        print(f"burlmoor: {line}", file=sys.stderr)
    sys.exit(2)


def environment(config: Path | None, options: Path | None) -> None:
    """Have the node find the files that the command line names."""
    if config is not None:
        os.environ["RELAY_CONFIG"] = str(config)
    if options is not None:
        os.environ["BURLMOOR_OPTIONS"] = str(options)
