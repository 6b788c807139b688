"""Nodes with one fault put in, for drills that must notice: `python -m burlmoor.rig.sabotage NAME`.

The program itself has no switch for any of this: the faults are laid over it here, in a process of their own.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any


def _forget_parents() -> None:
    """Jobs run whatever they name."""
    from burlmoor.waiting.graph import Graph  # noqa: PLC0415

    add = Graph.add
    Graph.add = lambda self, ref, after, *rest: add(self, ref, (), *rest)  # type: ignore[method-assign]


def _early() -> None:
    """Jobs run whatever time they name."""
    from burlmoor.waiting.graph import Graph  # noqa: PLC0415

    add = Graph.add

    def early(self: Graph, ref: str, after: Any, _not_before: float, *rest: Any) -> Any:
        return add(self, ref, after, 0.0, *rest)

    Graph.add = early  # type: ignore[assignment, method-assign]


def _failed_is_served() -> None:
    """A parent that failed counts as served."""
    from burlmoor.waiting.graph import Graph  # noqa: PLC0415

    ended = Graph.ended
    Graph.ended = lambda self, ref, served, now: ended(self, ref, True, now)  # type: ignore[method-assign]


def _no_cascade() -> None:
    """Those that wait for a job that failed are not told."""
    from burlmoor.waiting.graph import Graph, Reason, Waiter  # noqa: PLC0415

    turn = Graph.turn

    def deaf(self: Graph, waiter: Waiter, reason: Reason) -> None:
        if reason is not Reason.PARENT:
            turn(self, waiter, reason)

    Graph.turn = deaf  # type: ignore[method-assign]


def _starve() -> None:
    """What is free to run goes only where nothing else wants to."""
    from burlmoor.waiting.pace import Line  # noqa: PLC0415

    Line.next = lambda self, now, room: None  # type: ignore[method-assign]


SABOTAGES: dict[str, Callable[[], None]] = {
    "forget-parents": _forget_parents,
    "early": _early,
    "failed-is-served": _failed_is_served,
    "no-cascade": _no_cascade,
    "starve": _starve,
}


def main() -> int:
    """Put the fault in and run the node; its exit status."""
    SABOTAGES[sys.argv[1]]()
    from burlmoor.__main__ import main as run  # noqa: PLC0415

    return run()


if __name__ == "__main__":
    sys.exit(main())
