"""Nodes with one fault put in, for drills that must notice: `python -m burlmoor.testbed.mutations NAME`.

The program itself has no switch for any of this: the faults are laid over it here, in a process of their own.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from burlmoor.types.endpoint_list import EndpointState


def _forget_parents() -> None:
    """Jobs run whatever they name."""
    from burlmoor.deferred.dependency_graph import Graph  # noqa: PLC0415

    add = Graph.add
    Graph.add = lambda self, ref, after, *rest: add(self, ref, (), *rest)  # type: ignore[method-assign]


def _early() -> None:
    """Jobs run whatever time they name."""
    from burlmoor.deferred.dependency_graph import Graph  # noqa: PLC0415

    add = Graph.add

    def early(self: Graph, ref: str, after: Any, _not_before: float, *rest: Any) -> Any:
        return add(self, ref, after, 0.0, *rest)

    Graph.add = early  # type: ignore[assignment, method-assign]


def _failed_is_served() -> None:
    """A parent that failed counts as served."""
    from burlmoor.deferred.dependency_graph import Graph  # noqa: PLC0415

    ended = Graph.ended
    Graph.ended = lambda self, ref, served, now: ended(self, ref, True, now)  # type: ignore[method-assign]


def _no_cascade() -> None:
    """Those that wait for a job that failed are not told."""
    from burlmoor.deferred.dependency_graph import Graph, Reason, Waiter  # noqa: PLC0415

    turn = Graph.turn

    def deaf(self: Graph, waiter: Waiter, reason: Reason) -> None:
        if reason is not Reason.PARENT:
            turn(self, waiter, reason)

    Graph.turn = deaf  # type: ignore[method-assign]


def _starve() -> None:
    """What is free to run goes only where nothing else wants to."""
    from burlmoor.deferred.rate_control import Line  # noqa: PLC0415

    Line.next = lambda self, now, room: None  # type: ignore[method-assign]


def _same_seed() -> None:
    """All nodes draw the same numbers."""
    from burlmoor.policy.dispatcher import Dispatcher  # noqa: PLC0415

    init = Dispatcher.__init__
    Dispatcher.__init__ = lambda self, settings, seed: init(self, settings, 1)  # type: ignore[method-assign]


def _in_step() -> None:
    """All nodes send in the same moments, four times a second."""
    from burlmoor.policy.dispatch_rounds import ROUND_TICKS, DispatchRounds  # noqa: PLC0415
    from burlmoor.stats.job import ScheduledJob  # noqa: PLC0415

    def strike(now: float) -> float:
        # By the machine's clock, which is all nodes' own: each process counts from elsewhere.
        return now + 250.0 - time.monotonic() * 1000.0 % 250.0

    run = DispatchRounds.run

    def enqueue(self: DispatchRounds, job: ScheduledJob, now: float, ticks: float = ROUND_TICKS) -> None:
        job.is_queued = True
        self.queue[job.id] = job
        self.next_round_at = min(self.next_round_at, strike(now))

    def run_in_step(self: DispatchRounds, now: float) -> None:
        run(self, now)
        if self.queue:
            self.next_round_at = strike(now)

    DispatchRounds.enqueue = enqueue  # type: ignore[method-assign]
    DispatchRounds.run = run_in_step  # type: ignore[method-assign]


def _one_order() -> None:
    """All nodes look at executors in the same order, and take the first that seems to have room."""
    from burlmoor.endpoints.affinity import AffinityOrders  # noqa: PLC0415
    from burlmoor.endpoints.candidates import Candidates  # noqa: PLC0415

    def sample(self: Candidates, _rng: Any, local_count: int, remote_count: int) -> Any:
        return [*self.local, *self.remote][: local_count + remote_count]

    order_of = AffinityOrders.order_of
    Candidates.sample = sample  # type: ignore[assignment, method-assign]
    AffinityOrders.order_of = lambda self, key: order_of(self, "one") if key else []  # type: ignore[method-assign]


def _no_ageing() -> None:
    """What was learnt is never forgotten."""
    from burlmoor.stats.decayed_mean import DecayedMean  # noqa: PLC0415

    add, read = DecayedMean.add, DecayedMean.read

    def kept(self: DecayedMean, now: float, value: float, _half: float, weight: float = 1.0) -> None:
        add(self, now, value, 1e15, weight)

    DecayedMean.add = kept  # type: ignore[assignment, method-assign]
    DecayedMean.read = lambda self, now, _half, *rest: read(self, now, 1e15, *rest)  # type: ignore[method-assign]


def _late_watch() -> None:
    """A silent watch is given up some time after what it missed counts as told."""
    from burlmoor.discovery import schedule  # noqa: PLC0415

    schedule._WAIT, schedule._LATE, schedule._TURN = 8.0, 4.0, 4.0


def _slow_again() -> None:
    """A call that failed is made anew only some seconds after what it missed counts as told."""
    from burlmoor.discovery import schedule  # noqa: PLC0415

    schedule._TOLD, schedule._A_CALL, schedule._LEAST = 12.0, 100.0, 0.8


def _undrained() -> None:
    """What drains gets jobs as before."""
    from burlmoor.endpoints.directory import EndpointDirectory  # noqa: PLC0415

    EndpointDirectory._state = lambda self, host: EndpointState.LIVE  # type: ignore[method-assign]
    EndpointDirectory.find_live = lambda self, name: self._targets.get(name)  # type: ignore[method-assign]


Sabotages = dict[str, Callable[[], None]]

OF_WAITING: Sabotages = {
    "forget-parents": _forget_parents,
    "early": _early,
    "failed-is-served": _failed_is_served,
    "no-cascade": _no_cascade,
    "starve": _starve,
}
OF_SPREAD: Sabotages = {
    "same-seed": _same_seed,
    "in-step": _in_step,
    "one-order": _one_order,
    "no-ageing": _no_ageing,
}
OF_WATCH: Sabotages = {"late-watch": _late_watch, "slow-again": _slow_again, "undrained": _undrained}
SABOTAGES: Sabotages = OF_WAITING | OF_SPREAD | OF_WATCH


def told(sabotages: Sabotages) -> dict[str, str]:
    """What each does, by name."""
    return {name: (act.__doc__ or "").strip() for name, act in sabotages.items()}


def main() -> int:
    """Put the fault in and run the node; its exit status."""
    SABOTAGES[sys.argv[1]]()
    from burlmoor.lifecycle.node import main as run  # noqa: PLC0415

    return run()


if __name__ == "__main__":
    sys.exit(main())
