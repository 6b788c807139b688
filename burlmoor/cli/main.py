"""The `burlmoor` command: a group whose verbs are imported only when used.

For the exit statuses see `exit_status.py`.
"""

from __future__ import annotations

import importlib

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
    """The group of all verbs, whose modules and functions `_VERBS` names."""

    def list_commands(self, _ctx: click.Context) -> list[str]:
        """Return the verbs in the order of `_VERBS`."""
        return list(_VERBS)

    def get_command(self, _ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a verb and return its command."""
        if cmd_name not in _VERBS:
            return None
        module, _, name = _VERBS[cmd_name].partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(cls=_Verbs, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="burlmoor", message="%(version)s")
def main() -> None:
    """Balance jobs over executors, and give each client exactly one final answer."""
