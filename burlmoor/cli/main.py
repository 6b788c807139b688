"""The `burlmoor` command: a group whose subcommands are imported only when used.

`exit_status.py` defines the exit statuses.
"""

from __future__ import annotations

import importlib

import click

_SUBCOMMANDS = {
    "try": "burlmoor.cli.load:try_",
    "run": "burlmoor.cli.node:run",
    "check": "burlmoor.cli.node:check",
    "load": "burlmoor.cli.load:load",
    "drill": "burlmoor.cli.drill:drill",
    "fleet": "burlmoor.cli.fleet:fleet",
}


class _LazyGroup(click.Group):
    """Imports a subcommand's module when the subcommand is looked up."""

    def list_commands(self, _ctx: click.Context) -> list[str]:
        """Return the names of the subcommands in the order of `_SUBCOMMANDS`."""
        return list(_SUBCOMMANDS)

    def get_command(self, _ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a subcommand and return it."""
        if cmd_name not in _SUBCOMMANDS:
            return None
        module, _, name = _SUBCOMMANDS[cmd_name].partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="burlmoor", message="%(version)s")
def main() -> None:
    """Balance jobs over executors, and give each client exactly one final answer."""
