"""Prints verdicts and status lines on standard error, writes JSON, and sets the exit status."""

from __future__ import annotations

import json
import sys
from typing import IO, TYPE_CHECKING, Any, NoReturn

from rich.console import Console
from rich.table import Table

from burlmoor.cli.exit_status import ExitStatus

if TYPE_CHECKING:
    from burlmoor.testbed.drill import Verdict


def standard_error() -> Console:
    """Return a console on standard error, which is used for tables, status lines and progress."""
    return Console(stderr=True)


def print_status(line: str) -> None:
    """Print a line about the progress of a command."""
    standard_error().print(line, style="dim")


def write_json(value: dict[str, Any], sink: IO[str] | None) -> None:
    """Write a value as indented JSON to the sink, if any."""
    if sink is not None:
        sink.write(json.dumps(value, indent=2) + "\n")


def print_verdict(verdict: Verdict) -> None:
    """Print a verdict as a table on standard error."""
    table = Table(
        title=f"drill {verdict.drill}, seed {verdict.seed}: {'held' if verdict.holds else 'NOT HELD'}"
    )
    for heading in ("claim", "value", "bound", ""):
        table.add_column(heading, justify="left" if heading == "claim" else "right")
    for name, claim in verdict.claims.items():
        bound = f"{'≥' if claim.is_lower_bound else '≤'} {claim.bound:g}"
        table.add_row(name, f"{claim.value:.4g}", bound, "held" if claim.holds else "NOT HELD")
    for name, value in verdict.figures.items():
        table.add_row(name, f"{value:.4g}", "", "", style="dim")
    standard_error().print(table)


def exit_with_verdict(verdict: Verdict, sink: IO[str] | None) -> NoReturn:
    """Print a verdict, write it to the sink, if any, and exit; the status is FAILURE if it does not hold."""
    print_verdict(verdict)
    write_json(verdict.to_json_object(), sink)
    sys.exit(ExitStatus.SUCCESS if verdict.holds else ExitStatus.FAILURE)
