"""The `burlmoor run` and `burlmoor check` commands."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from burlmoor.cli.errors import exit_with_errors
from burlmoor.early_signals import early_signals

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_CONFIG_VARIABLE = "RELAY_CONFIG"
_OPTIONS_VARIABLE = "BURLMOOR_OPTIONS"


def _file_option(name: str, help_text: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    return click.option(name, type=click.Path(exists=True, dir_okay=False, path_type=Path), help=help_text)


_config_option = _file_option("--config", "The node's configuration (JSON). [default: $RELAY_CONFIG]")
_options_option = _file_option(
    "--options", "The operators' options (INI). [default: $BURLMOOR_OPTIONS; if unset, every option is off]"
)


@click.command()
@_config_option
@_options_option
def run(config: Path | None, options: Path | None) -> None:
    """Run one node until SIGTERM; SIGHUP makes it read its files again."""
    early_signals.install()
    _set_variables(config, options)
    from burlmoor.lifecycle.process import main  # noqa: PLC0415 - `check` does not need it

    sys.exit(main())


@click.command()
@_config_option
@_options_option
def check(config: Path | None, options: Path | None) -> None:
    """Check the files; if one is invalid, print a line per error and exit with status 2."""
    _set_variables(config, options)
    variables = [name for name in (_CONFIG_VARIABLE, _OPTIONS_VARIABLE) if os.environ.get(name)]
    if not variables:
        exit_with_errors(["nothing to check: give a file with --config or --options"])
    errors = [line for variable in variables for line in _check_file(variable, variables)]
    if errors:
        exit_with_errors(errors)
    click.echo(f"{' and '.join(os.environ[variable] for variable in variables)}: valid")


def _set_variables(config: Path | None, options: Path | None) -> None:
    """Set the environment variables of the files given on the command line."""
    if config is not None:
        os.environ[_CONFIG_VARIABLE] = str(config)
    if options is not None:
        os.environ[_OPTIONS_VARIABLE] = str(options)


def _check_file(variable: str, variables: list[str]) -> list[str]:
    """Return the errors in the file that the environment variable names, one per line."""
    from burlmoor.config import node_config  # noqa: PLC0415 - `run` does not need it here

    readers: dict[str, Callable[[Mapping[str, str]], object]] = {
        _CONFIG_VARIABLE: node_config.load_config,
        _OPTIONS_VARIABLE: node_config.load_options,
    }
    # Each file is read without the other, so that each error is reported once.
    others = {name for name in variables if name != variable}
    environment = {name: text for name, text in os.environ.items() if name not in others}
    try:
        readers[variable](environment)
    except node_config.InvalidConfigError as error:
        return str(error).splitlines()
    return []
