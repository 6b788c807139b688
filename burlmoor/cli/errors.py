"""Reports invalid usage and invalid files on standard error and through the exit status."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

from burlmoor.cli.exit_status import ExitStatus

if TYPE_CHECKING:
    from collections.abc import Iterable


def exit_with_errors(lines: Iterable[str]) -> NoReturn:
    """Print one line per error, prefixed with the program's name, and exit with `ExitStatus.INVALID`."""
    for line in lines:
        print(f"burlmoor: {line}", file=sys.stderr)
    sys.exit(ExitStatus.INVALID)
