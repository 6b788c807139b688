"""Mutations of the policy that make many nodes choose the same endpoints at the same time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from burlmoor.testbed.mutations.mutation import Mutation, mutations_by_name, replace_attributes

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from burlmoor.policy.dispatch_rounds import DispatchRounds
    from burlmoor.policy.dispatcher import Dispatcher
    from burlmoor.policy.endpoints.affinity import AffinityOrders
    from burlmoor.policy.endpoints.candidates import Candidates
    from burlmoor.policy.model.decayed_mean import DecayedMean
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.types.settings import Settings

_COMMON_SEED = 1
_COMMON_ROUND_INTERVAL_MS = 250.0  # of the rounds that all nodes run at the same times
_ENDLESS_HALF_LIFE_MS = 1e15


def _use_common_seed() -> None:
    from burlmoor.policy.dispatcher import Dispatcher  # noqa: PLC0415

    init = Dispatcher.__init__

    def init_with_common_seed(self: Dispatcher, settings: Settings, _seed: int) -> None:
        init(self, settings, _COMMON_SEED)

    replace_attributes(Dispatcher, __init__=init_with_common_seed)


def _dispatch_at_common_times() -> None:
    from burlmoor.policy.dispatch_rounds import DispatchRounds  # noqa: PLC0415

    run = DispatchRounds.run

    def next_common_time(now: float) -> float:
        # All processes share the machine's monotonic clock, while the origin of `now` differs between them.
        return now + _COMMON_ROUND_INTERVAL_MS - time.monotonic() * 1000.0 % _COMMON_ROUND_INTERVAL_MS

    def enqueue(self: DispatchRounds, job: ScheduledJob, now: float, _ticks: float = 0.0) -> None:
        job.is_queued = True
        self.queue[job.id] = job
        self.next_round_at = min(self.next_round_at, next_common_time(now))

    def run_at_common_times(self: DispatchRounds, now: float) -> None:
        run(self, now)
        if self.queue:
            self.next_round_at = next_common_time(now)

    replace_attributes(DispatchRounds, enqueue=enqueue, run=run_at_common_times)


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

    replace_attributes(Candidates, sample=take_first)
    replace_attributes(AffinityOrders, order_of=common_order_of)


def _disable_decay() -> None:
    from burlmoor.policy.model.decayed_mean import DecayedMean  # noqa: PLC0415

    add, read = DecayedMean.add, DecayedMean.read

    def add_without_decay(
        self: DecayedMean, now: float, value: float, _half_life: float, weight: float = 1.0
    ) -> None:
        add(self, now, value, _ENDLESS_HALF_LIFE_MS, weight)

    def read_without_decay(self: DecayedMean, now: float, _half_life: float, *prior: float) -> float:
        return read(self, now, _ENDLESS_HALF_LIFE_MS, *prior)

    replace_attributes(DecayedMean, add=add_without_decay, read=read_without_decay)


SPREAD_MUTATIONS: Mapping[str, Mutation] = mutations_by_name(
    Mutation("same-seed", "All nodes draw the same random numbers.", _use_common_seed),
    Mutation("in-step", "All nodes dispatch at the same times.", _dispatch_at_common_times),
    Mutation(
        "one-order",
        "All nodes consider endpoints in the same order and take the first with capacity.",
        _use_common_order,
    ),
    Mutation("no-ageing", "Statistics never decay.", _disable_decay),
)
