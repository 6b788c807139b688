"""How the commands report what is wrong: lines on standard error, and exit status 2 for bad usage."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

if TYPE_CHECKING:
    from collections.abc import Iterable


def print_errors(lines: Iterable[str]) -> None:
    """Print lines on standard error, each with the program's name."""
    for line in lines:
        print(f"burlmoor: {line}", file=sys.stderr)


def exit_with_errors(lines: Iterable[str]) -> NoReturn:
    """Print a line an error, and exit with status 2."""
    print_errors(lines)
    sys.exit(2)
