"""A node that samples itself: `python -m benchmarks.sampled FILE` leaves where its CPU went in FILE.

Every 2 ms of this process's CPU (SIGPROF) the running function is counted, and once each function on its call
stack. The file holds JSON: `samples`, `own` and `with_callees`, counts by function.
"""

from __future__ import annotations

import json
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from types import FrameType

_INTERVAL_SECONDS = 0.002
_ROOT = Path(__file__).parent.parent
_MAX_OWN = 60
_MAX_WITH_CALLEES = 120


class _Function(NamedTuple):
    path: str
    qualified_name: str


class _FunctionCount(NamedTuple):
    function: str
    sample_count: int


def _function_of(frame: FrameType) -> _Function:
    return _Function(frame.f_code.co_filename, frame.f_code.co_qualname)


def _format_function(function: _Function) -> str:
    path = Path(function.path)
    short = path.relative_to(_ROOT).as_posix() if path.is_relative_to(_ROOT) else "/".join(path.parts[-2:])
    return f"{short.split('site-packages/')[-1]}:{function.qualified_name}"


def _most_common(counts: Counter[_Function], most: int) -> list[_FunctionCount]:
    return [_FunctionCount(_format_function(function), count) for function, count in counts.most_common(most)]


def _functions_on_stack(frame: FrameType) -> set[_Function]:
    functions: set[_Function] = set()
    current: FrameType | None = frame
    while current is not None:
        functions.add(_function_of(current))
        current = current.f_back
    return functions


def main() -> int:
    """Run the node, sampling; return its exit status."""
    innermost_counts: Counter[_Function] = Counter()
    stack_counts: Counter[_Function] = Counter()

    def sample(_number: int, frame: FrameType | None) -> None:
        if frame is not None:
            innermost_counts[_function_of(frame)] += 1
            stack_counts.update(_functions_on_stack(frame))

    from burlmoor.lifecycle.process import main as run_node  # noqa: PLC0415

    signal.signal(signal.SIGPROF, sample)
    signal.setitimer(signal.ITIMER_PROF, _INTERVAL_SECONDS, _INTERVAL_SECONDS)
    status = run_node()
    signal.setitimer(signal.ITIMER_PROF, 0.0)
    figures = {
        "samples": innermost_counts.total(),
        "own": _most_common(innermost_counts, _MAX_OWN),
        "with_callees": _most_common(stack_counts, _MAX_WITH_CALLEES),
    }
    Path(sys.argv[1]).write_text(json.dumps(figures))
    return status


if __name__ == "__main__":
    sys.exit(main())
