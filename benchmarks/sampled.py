"""Runs a node under a sampling profiler, and writes the profile to a file.

    python -m benchmarks.sampled FILE

Takes a sample every 2 ms of this process's CPU time (SIGPROF). A sample counts the innermost function in
`own`, and each function on the call stack once in `with_callees`. The file holds JSON: both counts by
function, and the number of `samples`.
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

_SAMPLING_INTERVAL_SECONDS = 0.002
_REPOSITORY_ROOT = Path(__file__).parent.parent
_MAX_OWN_FUNCTIONS = 60
_MAX_WITH_CALLEES_FUNCTIONS = 120


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
    short_path = (
        path.relative_to(_REPOSITORY_ROOT).as_posix()
        if path.is_relative_to(_REPOSITORY_ROOT)
        else "/".join(path.parts[-2:])
    )
    return f"{short_path.split('site-packages/')[-1]}:{function.qualified_name}"


def _most_common(counts: Counter[_Function], limit: int) -> list[_FunctionCount]:
    return [
        _FunctionCount(_format_function(function), count) for function, count in counts.most_common(limit)
    ]


def _functions_on_stack(frame: FrameType) -> set[_Function]:
    functions: set[_Function] = set()
    current: FrameType | None = frame
    while current is not None:
        functions.add(_function_of(current))
        current = current.f_back
    return functions


def main() -> int:
    """Run the node under the profiler; return its exit status."""
    innermost_counts: Counter[_Function] = Counter()
    stack_counts: Counter[_Function] = Counter()

    def sample(_signal_number: int, frame: FrameType | None) -> None:
        if frame is not None:
            innermost_counts[_function_of(frame)] += 1
            stack_counts.update(_functions_on_stack(frame))

    from burlmoor.lifecycle.process import main as run_node  # noqa: PLC0415

    signal.signal(signal.SIGPROF, sample)
    signal.setitimer(signal.ITIMER_PROF, _SAMPLING_INTERVAL_SECONDS, _SAMPLING_INTERVAL_SECONDS)
    status = run_node()
    signal.setitimer(signal.ITIMER_PROF, 0.0)
    figures = {
        "samples": innermost_counts.total(),
        "own": _most_common(innermost_counts, _MAX_OWN_FUNCTIONS),
        "with_callees": _most_common(stack_counts, _MAX_WITH_CALLEES_FUNCTIONS),
    }
    Path(sys.argv[1]).write_text(json.dumps(figures))
    return status


if __name__ == "__main__":
    sys.exit(main())
