"""The endpoint list as the policy uses it."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from itertools import accumulate
from zlib import crc32

from burlmoor.stats.endpoint import Endpoint
from burlmoor.stats.endpoint_statistics import SKILL_HALF, EndpointStatistics
from burlmoor.types.endpoint_list import EndpointState, ListKind
from burlmoor.types.events import (
    EndpointListUpdate,
)
from burlmoor.types.settings import Settings

KEY_HOMES = 4  # executors that may get a key's jobs: each more of them has to fetch it


CAUTION = 0.3  # the share of a cold executor's budget that many nodes plan to use: 3 times is the worst


LARGE = 2.0  # a cold executor gets no job of more than this many times the mean cost


MOST_KEYS = 1000  # whose homes and shares are kept


class Reach:
    """The executors that may take a job, near ones first, drawn by size; and each key's home among them."""

    def __init__(self, workers: Iterable[Endpoint], zone: str) -> None:
        usable = list(workers)
        self.near = [worker for worker in usable if worker.zone == zone]
        self.far = [worker for worker in usable if worker.zone != zone]
        if not self.near:
            self.near, self.far = self.far, []
        self.near_sums = list(accumulate(worker.weight for worker in self.near))
        self.far_sums = list(accumulate(worker.weight for worker in self.far))
        self.homes: dict[str, list[Endpoint]] = {}

    def sample(self, rng: random.Random, near: int, far: int) -> list[Endpoint]:
        """A few executors, each as likely as it is large."""
        drawn = rng.choices(self.near, cum_weights=self.near_sums, k=near) if self.near else []
        return drawn + (rng.choices(self.far, cum_weights=self.far_sums, k=far) if self.far else [])

    def home(self, key: str) -> list[Endpoint]:
        """A key's executors, near or far, in an order that all nodes with the same list share."""
        if not key:
            return []
        if key not in self.homes:
            if len(self.homes) >= MOST_KEYS:
                self.homes.clear()
            mark = crc32(key.encode())

            def order(worker: Endpoint) -> float:
                # Rendezvous hashing by weight: a change of the list moves no more keys than it must.
                return ((mark ^ worker.mark) * 2654435761 % 2**32) / worker.weight

            # In all zones: homes of each zone's own made every zone fetch every key, and filled the store.
            self.homes[key] = sorted(self.near + self.far, key=order)
        return self.homes[key]


class EndpointList:
    """The list of executors, the subscription to it, and the budgets of cold ones."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rules, self.rng = settings, settings.rules, rng
        self.workers: dict[str, Endpoint] = {}
        self.failures, self.size, self.live, self.most = 0, 0.0, list[Endpoint](), 1
        self.cost = 1.0  # what a job takes on average: its work times its slots
        # Work a ms, in jobs, that the fleet is there for: what its tenants may send together.
        self.planned = sum(tenant.quota_per_second for tenant in settings.tenants) / 1000.0
        self.caution = max(CAUTION, 0.5 - 0.005 * settings.node_count)  # few nodes save up and owe little
        self.yielded = False  # whether this node's part of the budgets is another process's now
        self._reach: dict[str | None, Reach] = {}

    def update(self, event: EndpointListUpdate) -> None:
        """Take in a list. Rule 3 is kept at once: what is not listed as live gets nothing new."""
        self.failures = 0
        if event.kind is not ListKind.DELTA:
            listed = {entry.endpoint for entry in event.entries}
            for name in [name for name in self.workers if name not in listed]:
                self.workers.pop(name).live = False
        for entry in event.entries:
            known = self.workers.get(entry.endpoint)
            if known is not None:
                known.live = entry.state is EndpointState.LIVE
                known.weight = max(entry.weight, 1e-3)
                if entry.started_at == known.entry.started_at and entry.state is not EndpointState.GONE:
                    continue
                # A restarted process holds nothing of ours: what was learnt of the old one is void.
                self.workers.pop(entry.endpoint).live = False
            if entry.state is not EndpointState.GONE:
                self.workers[entry.endpoint] = worker = Endpoint(entry)
                worker.turn = self._turn(worker.mark)
        self._reach.clear()
        self.live = [worker for worker in self.workers.values() if worker.live]
        self.size = sum(worker.weight for worker in self.live)
        self.most = max(self.most, len(self.live))  # those that are lost leave their part to nobody

    def _turn(self, mark: int) -> int:
        """This node's place in an executor's own order of all nodes, which is the same at each of them."""
        nodes, me = self.settings.node_count, self.settings.node_index
        step = mark // nodes % nodes
        while math.gcd(step, nodes) != 1:
            step += 1
        return self.rng.randrange(nodes) if me is None else (me * step + mark) % nodes

    def reach(self, kind: str | None) -> Reach:
        """The executors for jobs that need this kind (None: any)."""
        if kind not in self._reach:
            workers = (worker for worker in self.live if kind in (None, worker.kind))
            self._reach[kind] = Reach(workers, self.settings.zone)
        return self._reach[kind]

    def next_call(self, failed: bool) -> float:
        """How long to wait before subscribing: spread over the nodes, longer after each failure."""
        self.failures += failed
        step = 0.1 * self.rules.poll_interval_ms * 2.0 ** min(max(self.failures - 1, 0), 3)
        return step * (self.rng.uniform(0.5, 1.5) if failed else self.rng.uniform(0.0, 4.0))

    def warmth(self, worker: Endpoint, now: float) -> float:
        """The share of its capacity that an executor has at least."""
        age = now - worker.entry.started_at
        if worker.entry.started_at <= 0.0 or age >= self.rules.slow_start_ms:
            return 1.0
        low = self.rules.initial_capacity
        return low + (1.0 - low) * max(0.0, age) / self.rules.slow_start_ms

    def part(self, worker: Endpoint, book: EndpointStatistics, now: float) -> tuple[float, float]:
        """Jobs of mean cost that a cold executor bears within a window, and those that this node may send.

        Its part of what tenants may send together, or what starts promptly on warm ones: docs/design.md.
        """
        cost, pace = self.cost, book.kind(worker.kind, now)
        faster = max(0.5, min(1.5, book.fleet_slow.read(now, SKILL_HALF, 1.0) / pace))
        able = self.planned * cost / self.most * faster
        if not self.planned:
            peers = (each for each in self.live if each.kind == worker.kind)
            able = min((each.room for each in peers if self.warmth(each, now) >= 1.0), default=0.0) / pace
        able = self.rules.overload_multiple * max(worker.weight, able) * self.warmth(worker, now)
        budget = able * self.rules.overload_window_ms / cost
        rounds, rest = divmod(self.caution * budget, self.settings.node_count)
        return budget, 0.0 if self.yielded else rounds + max(0.0, min(1.0, rest - worker.turn))

    def lent(self, book: EndpointStatistics, now: float) -> list[Endpoint]:
        """The cold executors dealt to this node and to less than a tenth of all: few look at them."""
        cold = (each for each in self.live if self.warmth(each, now) < 1.0)
        parts = ((each, *self.part(each, book, now)) for each in cold)
        return [each for each, all_, own in parts if own > 0.0 and 3.0 * all_ < self.settings.node_count]

    def cold_allows(self, worker: Endpoint, cost: float, book: EndpointStatistics, now: float) -> bool:
        """Rule 4, summed over all nodes: each saves up one job at most, and owes one at most."""
        budget, part = self.part(worker, book, now)
        gained = part * (now - worker.credit_at) / self.rules.overload_window_ms
        worker.credit, worker.credit_at = min(1.0, worker.credit + gained), now
        jobs = cost / self.cost
        return part > 0.0 and jobs <= min(LARGE, 0.5 * budget) and worker.credit >= min(1.0, jobs)
