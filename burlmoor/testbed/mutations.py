"""Nodes with one fault put in, for drills that must notice: `python -m burlmoor.testbed.mutations NAME`.

The program itself has no switch for any of this: the faults are laid over it here, in a process of their own.
"""

from __future__ import annotations

import math
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from burlmoor.types.endpoint_list import EndpointState

if TYPE_CHECKING:
    from burlmoor.engine.job import Attempt
    from burlmoor.policy.model.job import ScheduledJob


def _forget_parents() -> None:
    """Jobs run whatever they name."""
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    add = DependencyGraph.add

    def add_without_dependencies(self: DependencyGraph, request_id: str, _after: Any, *rest: Any) -> Any:
        return add(self, request_id, (), *rest)

    DependencyGraph.add = add_without_dependencies  # type: ignore[assignment, method-assign]


def _early() -> None:
    """Jobs run whatever time they name."""
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    add = DependencyGraph.add

    def add_without_time(
        self: DependencyGraph, request_id: str, after: Any, _not_before_unix_ms: float, *rest: Any
    ) -> Any:
        return add(self, request_id, after, 0.0, *rest)

    DependencyGraph.add = add_without_time  # type: ignore[assignment, method-assign]


def _failed_is_served() -> None:
    """A parent that failed counts as served."""
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    on_job_ended = DependencyGraph.on_job_ended

    def on_job_ended_as_served(self: DependencyGraph, request_id: str, was_served: bool, now: float) -> None:
        on_job_ended(self, request_id, True, now)

    DependencyGraph.on_job_ended = on_job_ended_as_served  # type: ignore[method-assign]


def _no_cascade() -> None:
    """Those that wait for a job that failed are not told."""
    from burlmoor.deferred.deferred_job import DeferralReason, DeferredJob  # noqa: PLC0415
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    end_deferral = DependencyGraph.end_deferral

    def end_without_cascade(self: DependencyGraph, job: DeferredJob, reason: DeferralReason) -> None:
        if reason is not DeferralReason.DEPENDENCY_FAILED:
            end_deferral(self, job, reason)

    DependencyGraph.end_deferral = end_without_cascade  # type: ignore[method-assign]


def _starve() -> None:
    """What is free to run goes only where nothing else wants to."""
    from burlmoor.deferred.release_queue import ReleaseQueue  # noqa: PLC0415

    def release_nothing(self: ReleaseQueue[Any], now: float, free_slots: float) -> None:
        return None

    ReleaseQueue.pop_releasable = release_nothing  # type: ignore[method-assign]


def _same_seed() -> None:
    """All nodes draw the same numbers."""
    from burlmoor.policy.dispatcher import Dispatcher  # noqa: PLC0415

    init = Dispatcher.__init__
    Dispatcher.__init__ = lambda self, settings, seed: init(self, settings, 1)  # type: ignore[method-assign]


def _in_step() -> None:
    """All nodes send in the same moments, four times a second."""
    from burlmoor.policy.dispatch_rounds import ROUND_TICKS, DispatchRounds  # noqa: PLC0415

    def next_common_moment(now: float) -> float:
        # By the machine's clock, which is all nodes' own: each process counts from elsewhere.
        return now + 250.0 - time.monotonic() * 1000.0 % 250.0

    run = DispatchRounds.run

    def enqueue(self: DispatchRounds, job: ScheduledJob, now: float, ticks: float = ROUND_TICKS) -> None:
        job.is_queued = True
        self.queue[job.id] = job
        self.next_round_at = min(self.next_round_at, next_common_moment(now))

    def run_in_step(self: DispatchRounds, now: float) -> None:
        run(self, now)
        if self.queue:
            self.next_round_at = next_common_moment(now)

    DispatchRounds.enqueue = enqueue  # type: ignore[method-assign]
    DispatchRounds.run = run_in_step  # type: ignore[method-assign]


def _one_order() -> None:
    """All nodes look at endpoints in the same order, and take the first that seems to have capacity."""
    from burlmoor.policy.endpoints.affinity import AffinityOrders  # noqa: PLC0415
    from burlmoor.policy.endpoints.candidates import Candidates  # noqa: PLC0415

    def sample(self: Candidates, _rng: Any, local_count: int, remote_count: int) -> Any:
        return [*self.local, *self.remote][: local_count + remote_count]

    order_of = AffinityOrders.order_of
    Candidates.sample = sample  # type: ignore[assignment, method-assign]
    AffinityOrders.order_of = lambda self, key: order_of(self, "one") if key else []  # type: ignore[method-assign]


def _no_ageing() -> None:
    """Statistics never decay."""
    from burlmoor.policy.model.decayed_mean import DecayedMean  # noqa: PLC0415

    add, read = DecayedMean.add, DecayedMean.read

    def add_without_decay(
        self: DecayedMean, now: float, value: float, _half_life: float, weight: float = 1.0
    ) -> None:
        add(self, now, value, 1e15, weight)

    DecayedMean.add = add_without_decay  # type: ignore[assignment, method-assign]
    DecayedMean.read = lambda self, now, _half_life, *rest: read(self, now, 1e15, *rest)  # type: ignore[method-assign]


def _remove_list_lease() -> None:
    """The endpoint list may be used for ever: else the lease hides what a watch does wrong."""
    from burlmoor.discovery.list_lease import ListLease  # noqa: PLC0415

    ListLease.is_valid = lambda self, now: True  # type: ignore[method-assign]
    ListLease.expires_at = lambda self: math.inf  # type: ignore[method-assign]


def _late_watch() -> None:
    """A silent watch times out some time after the notification deadline of what it missed."""
    from burlmoor.discovery import schedule  # noqa: PLC0415

    schedule._WATCH_WAIT_SECONDS = 8.0
    schedule._OVERDUE_ALLOWANCE_SECONDS = 4.0
    schedule._QUEUE_TIMEOUT_SECONDS = 4.0
    _remove_list_lease()


def _slow_again() -> None:
    """A call that failed is made anew only some seconds after the notification deadline of what it missed."""
    from burlmoor.discovery import schedule  # noqa: PLC0415

    schedule.NOTIFICATION_SECONDS = 12.0
    schedule._CALL_COST_SECONDS = 100.0
    schedule._MIN_JITTER_FRACTION = 0.8
    _remove_list_lease()


def _undrained() -> None:
    """An endpoint that drains gets jobs as before."""
    from burlmoor.endpoints.directory import EndpointDirectory  # noqa: PLC0415

    EndpointDirectory._effective_state = lambda self, entry: EndpointState.LIVE  # type: ignore[method-assign]
    EndpointDirectory.find_live = lambda self, name: self._table.get(name)  # type: ignore[method-assign]


def _keep_sent() -> None:
    """An attempt that is cancelled stays with the kernel, which goes on delivering it."""
    from burlmoor.transport.stream import SocketStream  # noqa: PLC0415

    SocketStream.set_reset_on_close = lambda self, *, is_on: True  # type: ignore[method-assign]


def _old_list() -> None:
    """A node goes on sending on a list that is too old, and begins on the one it was started with."""
    from burlmoor.discovery.list_lease import ListLease  # noqa: PLC0415

    _remove_list_lease()
    build = ListLease.__init__

    def build_confirmed(self: ListLease, has_agent: bool) -> None:
        build(self, has_agent)
        self.is_confirmed = True

    ListLease.__init__ = build_confirmed  # type: ignore[method-assign]


def _unconfirmed_cancel() -> None:
    """A cancelled attempt counts as over before its endpoint has heard of that."""
    from burlmoor.upstream.attempts import AttemptRunner  # noqa: PLC0415

    cancel_attempt = AttemptRunner.cancel_attempt

    def cancel_and_end(self: AttemptRunner, attempt: Attempt) -> None:
        cancel_attempt(self, attempt)
        self._lifecycle._end_cancelled(attempt)

    AttemptRunner.cancel_attempt = cancel_and_end  # type: ignore[method-assign]


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
OF_SOAK: Sabotages = {
    "keep-sent": _keep_sent,
    "old-list": _old_list,
    "undrained": _undrained,
    "unconfirmed-cancel": _unconfirmed_cancel,
}
SABOTAGES: Sabotages = OF_WAITING | OF_SPREAD | OF_WATCH | OF_SOAK


def told(sabotages: Sabotages) -> dict[str, str]:
    """What each does, by name."""
    return {name: (act.__doc__ or "").strip() for name, act in sabotages.items()}


def main() -> int:
    """Put the fault in and run the node; its exit status."""
    SABOTAGES[sys.argv[1]]()
    from burlmoor.lifecycle.process import main as run  # noqa: PLC0415

    return run()


if __name__ == "__main__":
    sys.exit(main())
