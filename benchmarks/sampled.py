"""A node that samples itself: `python -m benchmarks.sampled FILE` leaves where its CPU went in FILE.

Every 2 ms of this process's CPU (SIGPROF) the running function is noted, and once each function that called
it. The file holds JSON: `samples`, `own` and `with_callees`, counts by function.
"""

from __future__ import annotations

import json
import signal
import sys
from collections import Counter
from pathlib import Path
from types import FrameType

_EVERY = 0.002
_ROOT = Path(__file__).parent.parent


_Place = tuple[str, str]


def _named(place: _Place) -> str:
    path = Path(place[0])
    short = path.relative_to(_ROOT).as_posix() if path.is_relative_to(_ROOT) else "/".join(path.parts[-2:])
    return f"{short.split('site-packages/')[-1]}:{place[1]}"


def _counted(counts: Counter[_Place], most: int) -> list[tuple[str, int]]:
    return [(_named(place), count) for place, count in counts.most_common(most)]


def main() -> int:
    """Run the node, sampling; its exit status."""
    own: Counter[_Place] = Counter()
    whole: Counter[_Place] = Counter()

    def sample(_number: int, frame: FrameType | None) -> None:
        if frame is None:
            return
        own[frame.f_code.co_filename, frame.f_code.co_qualname] += 1
        seen: set[_Place] = set()
        at: FrameType | None = frame
        while at is not None:
            seen.add((at.f_code.co_filename, at.f_code.co_qualname))
            at = at.f_back
        whole.update(seen)

    from burlmoor.lifecycle.node import main as run  # noqa: PLC0415

    signal.signal(signal.SIGPROF, sample)
    signal.setitimer(signal.ITIMER_PROF, _EVERY, _EVERY)
    status = run()
    signal.setitimer(signal.ITIMER_PROF, 0.0)
    figures = {"samples": own.total(), "own": _counted(own, 60), "with_callees": _counted(whole, 120)}
    Path(sys.argv[1]).write_text(json.dumps(figures))
    return status


if __name__ == "__main__":
    sys.exit(main())
