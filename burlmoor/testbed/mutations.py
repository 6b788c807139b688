"""Nodes built to violate a rule, with which drills must fail: `python -m burlmoor.testbed.mutations NAME`.

The node itself has no switch for any of this: a mutation replaces functions and constants of the node's
modules in its own process before the node starts. The modules that a mutation changes are imported only where
it is applied, since some belong to subsystems that a plain node does not import.
"""

from __future__ import annotations

import math
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping

    from burlmoor.deferred.deferred_job import DeferralReason, DeferredJob
    from burlmoor.deferred.dependency_graph import DependencyGraph
    from burlmoor.discovery.list_lease import ListLease
    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.engine.attempt_controller import AttemptController
    from burlmoor.engine.job import Attempt
    from burlmoor.policy.dispatch_rounds import DispatchRounds
    from burlmoor.policy.dispatcher import Dispatcher
    from burlmoor.policy.endpoints.candidates import Candidates
    from burlmoor.policy.model.decayed_mean import DecayedMean
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.types.settings import Settings

_COMMON_SEED = 1
_COMMON_ROUND_MS = 250.0  # between two rounds that all nodes have at the same moments
_ENDLESS_HALF_LIFE_MS = 1e15


class Mutation(NamedTuple):
    """A way in which a node violates a rule; `apply` makes the node of this process do so."""

    name: str
    description: str
    apply: Callable[[], None]


def _replace(owner: object, **replacements: object) -> None:
    """Replace attributes of a class or a module.

    Raises AttributeError for one that does not exist, so that no mutation outlives a rename as a sound node.
    """
    for name, replacement in replacements.items():
        getattr(owner, name)
        setattr(owner, name, replacement)


# --- deferred jobs --------------------------------------------------------------------------------


def _ignore_dependencies() -> None:
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    add = DependencyGraph.add

    def add_without_dependencies(
        self: DependencyGraph, request_id: str, _after: Iterable[str], *times: float
    ) -> DeferredJob:
        return add(self, request_id, (), *times)

    _replace(DependencyGraph, add=add_without_dependencies)


def _ignore_earliest_time() -> None:
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    add = DependencyGraph.add

    def add_without_earliest_time(
        self: DependencyGraph,
        request_id: str,
        after: Iterable[str],
        _not_before_unix_ms: float,
        *times: float,
    ) -> DeferredJob:
        return add(self, request_id, after, 0.0, *times)

    _replace(DependencyGraph, add=add_without_earliest_time)


def _treat_failed_as_served() -> None:
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    on_job_ended = DependencyGraph.on_job_ended

    def on_job_ended_as_served(
        self: DependencyGraph, request_id: str, _was_served: object, now: float
    ) -> None:
        on_job_ended(self, request_id, was_served=True, now=now)

    _replace(DependencyGraph, on_job_ended=on_job_ended_as_served)


def _keep_dependents_of_failed() -> None:
    from burlmoor.deferred.deferred_job import DeferralReason  # noqa: PLC0415
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    end_deferral = DependencyGraph.end_deferral

    def end_other_deferral(self: DependencyGraph, job: DeferredJob, reason: DeferralReason) -> None:
        if reason is not DeferralReason.DEPENDENCY_FAILED:
            end_deferral(self, job, reason)

    _replace(DependencyGraph, end_deferral=end_other_deferral)


def _release_nothing() -> None:
    from burlmoor.deferred.release_queue import ReleaseQueue  # noqa: PLC0415

    _replace(ReleaseQueue, pop_releasable=lambda _self, _now, _free_slots: None)


# --- load spread over nodes -----------------------------------------------------------------------


def _use_common_seed() -> None:
    from burlmoor.policy.dispatcher import Dispatcher  # noqa: PLC0415

    init = Dispatcher.__init__

    def init_with_common_seed(self: Dispatcher, settings: Settings, _seed: int) -> None:
        init(self, settings, _COMMON_SEED)

    _replace(Dispatcher, __init__=init_with_common_seed)


def _dispatch_at_common_moments() -> None:
    from burlmoor.policy.dispatch_rounds import DispatchRounds  # noqa: PLC0415

    run = DispatchRounds.run

    def next_common_moment(now: float) -> float:
        # By the machine's clock, which all nodes share: each process's `now` has another origin.
        return now + _COMMON_ROUND_MS - time.monotonic() * 1000.0 % _COMMON_ROUND_MS

    def enqueue(self: DispatchRounds, job: ScheduledJob, now: float, _ticks: float = 0.0) -> None:
        job.is_queued = True
        self.queue[job.id] = job
        self.next_round_at = min(self.next_round_at, next_common_moment(now))

    def run_at_common_moments(self: DispatchRounds, now: float) -> None:
        run(self, now)
        if self.queue:
            self.next_round_at = next_common_moment(now)

    _replace(DispatchRounds, enqueue=enqueue, run=run_at_common_moments)


def _use_common_order() -> None:
    from burlmoor.policy.endpoints.affinity import AffinityOrders  # noqa: PLC0415
    from burlmoor.policy.endpoints.candidates import Candidates  # noqa: PLC0415

    order_of = AffinityOrders.order_of

    def take_first(
        self: Candidates, _rng: random.Random, local_count: int, remote_count: int
    ) -> list[Endpoint]:
        return [*self.local, *self.remote][: local_count + remote_count]

    def common_order_of(self: AffinityOrders, key: str) -> list[Endpoint]:
        return order_of(self, "one") if key else []

    _replace(Candidates, sample=take_first)
    _replace(AffinityOrders, order_of=common_order_of)


def _keep_old_statistics() -> None:
    from burlmoor.policy.model.decayed_mean import DecayedMean  # noqa: PLC0415

    add, read = DecayedMean.add, DecayedMean.read

    def add_without_decay(
        self: DecayedMean, now: float, value: float, _half_life: float, weight: float = 1.0
    ) -> None:
        add(self, now, value, _ENDLESS_HALF_LIFE_MS, weight)

    def read_without_decay(self: DecayedMean, now: float, _half_life: float, *prior: float) -> float:
        return read(self, now, _ENDLESS_HALF_LIFE_MS, *prior)

    _replace(DecayedMean, add=add_without_decay, read=read_without_decay)


# --- the endpoint list ----------------------------------------------------------------------------


def _remove_list_lease() -> None:
    """Let the endpoint list be used for ever: its lease would hide what a watch does wrong."""
    from burlmoor.discovery.list_lease import ListLease  # noqa: PLC0415

    _replace(ListLease, is_valid=lambda _self, _now: True, expires_at=lambda _self: math.inf)


def _time_out_watches_late() -> None:
    from burlmoor.discovery import schedule  # noqa: PLC0415

    _replace(schedule, _WATCH_WAIT_SECONDS=8.0, _OVERDUE_ALLOWANCE_SECONDS=4.0, _QUEUE_TIMEOUT_SECONDS=4.0)
    _remove_list_lease()


def _retry_calls_late() -> None:
    from burlmoor.discovery import schedule  # noqa: PLC0415

    _replace(schedule, NOTIFICATION_SECONDS=12.0, _CALL_COST_SECONDS=100.0, _MIN_JITTER_FRACTION=0.8)
    _remove_list_lease()


def _ignore_drains() -> None:
    from burlmoor.endpoints.directory import EndpointDirectory  # noqa: PLC0415
    from burlmoor.types.endpoint_list import EndpointState  # noqa: PLC0415

    def find_listed(self: EndpointDirectory, name: str) -> object:
        return self._table.get(name)

    _replace(
        EndpointDirectory, _effective_state=lambda _self, _entry: EndpointState.LIVE, find_live=find_listed
    )


def _use_unconfirmed_list() -> None:
    from burlmoor.discovery.list_lease import ListLease  # noqa: PLC0415

    _remove_list_lease()
    init = ListLease.__init__

    def init_confirmed(self: ListLease, *arguments: bool) -> None:
        init(self, *arguments)
        self.is_confirmed = True

    _replace(ListLease, __init__=init_confirmed)


# --- attempts -------------------------------------------------------------------------------------


def _deliver_after_close() -> None:
    from burlmoor.transport.stream import SocketStream  # noqa: PLC0415

    _replace(SocketStream, set_reset_on_close=lambda _self, _is_on: True)


def _end_cancelled_attempts_at_once() -> None:
    from burlmoor.engine.attempt_controller import AttemptController  # noqa: PLC0415

    cancel_attempt = AttemptController.cancel_attempt

    def cancel_and_end(self: AttemptController, attempt: Attempt, *arguments: object) -> None:
        cancel_attempt(self, attempt, *arguments)  # type: ignore[arg-type]  # passed on as they come
        self._end_cancelled(attempt)

    _replace(AttemptController, cancel_attempt=cancel_and_end)


# --- the table ------------------------------------------------------------------------------------


def _by_name(*mutations: Mutation) -> dict[str, Mutation]:
    return {mutation.name: mutation for mutation in mutations}


_UNDRAINED = Mutation("undrained", "An endpoint that drains gets jobs as before.", _ignore_drains)

DEFERRED_MUTATIONS: Mapping[str, Mutation] = _by_name(
    Mutation("forget-parents", "Jobs run without the jobs that they depend on.", _ignore_dependencies),
    Mutation("early", "Jobs run before their earliest time.", _ignore_earliest_time),
    Mutation("failed-is-served", "A dependency that failed counts as served.", _treat_failed_as_served),
    Mutation("no-cascade", "Dependents of a job that failed stay deferred.", _keep_dependents_of_failed),
    Mutation("starve", "Jobs that are free to run are never released.", _release_nothing),
)
SPREAD_MUTATIONS: Mapping[str, Mutation] = _by_name(
    Mutation("same-seed", "All nodes draw the same random numbers.", _use_common_seed),
    Mutation("in-step", "All nodes dispatch at the same moments.", _dispatch_at_common_moments),
    Mutation(
        "one-order",
        "All nodes consider endpoints in the same order and take the first with capacity.",
        _use_common_order,
    ),
    Mutation("no-ageing", "Statistics never decay.", _keep_old_statistics),
)
WATCH_MUTATIONS: Mapping[str, Mutation] = _by_name(
    Mutation(
        "late-watch",
        "A silent watch times out some seconds after the notification deadline of what it missed.",
        _time_out_watches_late,
    ),
    Mutation(
        "slow-again",
        "A failed call is retried some seconds after the notification deadline of what it missed.",
        _retry_calls_late,
    ),
    _UNDRAINED,
)
SOAK_MUTATIONS: Mapping[str, Mutation] = _by_name(
    Mutation("keep-sent", "The kernel still delivers attempts that are cancelled.", _deliver_after_close),
    Mutation(
        "old-list",
        "A node sends on an endpoint list that is too old, or not confirmed since its start.",
        _use_unconfirmed_list,
    ),
    _UNDRAINED,
    Mutation(
        "unconfirmed-cancel",
        "A cancelled attempt ends before its endpoint has confirmed the cancellation.",
        _end_cancelled_attempts_at_once,
    ),
)
MUTATIONS: Mapping[str, Mutation] = {
    **DEFERRED_MUTATIONS,
    **SPREAD_MUTATIONS,
    **WATCH_MUTATIONS,
    **SOAK_MUTATIONS,
}


def mutated_node_command(mutation: str) -> tuple[str, ...]:
    """Return the command that starts a node with a mutation."""
    return (sys.executable, "-m", "burlmoor.testbed.mutations", mutation)


def main() -> int:
    """Apply the mutation that the first argument names, run the node, and return its exit status."""
    MUTATIONS[sys.argv[1]].apply()
    from burlmoor.lifecycle.process import main as run_node  # noqa: PLC0415 - it is patched before

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
