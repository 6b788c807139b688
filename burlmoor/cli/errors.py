"""How the commands report invalid usage and files: lines on standard error, and an exit status."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

from burlmoor.cli.exit_status import ExitStatus

if TYPE_CHECKING:
    from collections.abc import Iterable


def exit_with_errors(lines: Iterable[str]) -> NoReturn:
    """Print a line an error with the program's name, and exit with the status for invalid input."""
    for line in lines:
        print(f"burlmoor: {line}", file=sys.stderr)
    sys.exit(ExitStatus.INVALID)
