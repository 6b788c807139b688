"""Slow start: how much an endpoint that was started a moment ago may get, over all nodes together.

An endpoint that warms up has a fraction of its capacity. No node sees what the others send it, so each keeps
within a share of a common budget, in an order of the nodes that is the endpoint's own and the same at each
of them. The design is in docs/design.md.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.policy.statistics.endpoint_statistics import EVIDENCE_HALF_LIFE_MS

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.statistics.node_statistics import NodeStatistics
    from burlmoor.types.settings import Settings

# The part of an endpoint's budget that the nodes plan to use: in the worst case they use 3 times as much.
MIN_PLANNED_FRACTION = 0.3
SINGLE_NODE_PLANNED_FRACTION = 0.5  # few nodes save up and owe little
PLANNED_FRACTION_STEP = 0.005  # less for each node
MAX_JOB_COST = 2.0  # a warming endpoint gets no job of more than this many times the mean cost
MAX_BUDGET_FRACTION = 0.5  # nor one that takes more than this part of its budget
MAX_CREDIT_JOBS = 1.0  # a node saves up one job at most, and owes one at most
MIN_SPEED, MAX_SPEED = 0.5, 1.5  # of a kind, against the fleet
SCARCE_BUDGET_FACTOR = 3.0  # a budget of fewer jobs than a third of the nodes goes to few of them

REASSIGN_FRACTION = 0.1  # of the overload window: how often the endpoints assigned to a node are found anew


class SlowStartBudget(NamedTuple):
    """What a warming endpoint bears within a window, in jobs of mean cost."""

    total_jobs: float
    share_jobs: float  # what this node may send


class SlowStart:
    """The budgets of endpoints that warm up, and this node's share of each."""

    def __init__(self, settings: Settings, statistics: NodeStatistics, rng: random.Random) -> None:
        self._rules = settings.rules
        self._node_count = settings.node_count
        self._node_index = settings.node_index
        self._statistics = statistics
        self._rng = rng
        # Work per ms that the fleet is there for: the jobs that its tenants may send together.
        self._planned_jobs_per_ms = sum(tenant.quota_per_second for tenant in settings.tenants) / 1000.0
        self._planned_fraction = max(
            MIN_PLANNED_FRACTION, SINGLE_NODE_PLANNED_FRACTION - PLANNED_FRACTION_STEP * self._node_count
        )
        self._live: Sequence[Endpoint] = ()
        self._peak_live_count = 1
        self._assigned: list[Endpoint] = []
        self._reassign_at = 0.0
        self.is_handed_over = False  # whether another process of this node uses its shares now

    def set_live_endpoints(self, live: Sequence[Endpoint]) -> None:
        """Take in the live endpoints. What those that are lost could bear is left to nobody."""
        self._live = live
        self._reassign_at = 0.0
        self._peak_live_count = max(self._peak_live_count, len(live))

    def rank_of_node(self, endpoint: Endpoint) -> int:
        """Return this node's rank in the endpoint's own order of all nodes, the same at each of them."""
        nodes = self._node_count
        step = endpoint.name_hash // nodes % nodes
        while math.gcd(step, nodes) != 1:
            step += 1
        if self._node_index is None:
            return self._rng.randrange(nodes)
        return (self._node_index * step + endpoint.name_hash) % nodes

    def capacity_fraction(self, endpoint: Endpoint, now: float) -> float:
        """Return the fraction of its capacity that an endpoint has at least; 1 once it is warm."""
        started_at = endpoint.entry.started_at
        age = now - started_at
        if started_at <= 0.0 or age >= self._rules.slow_start_ms:
            return 1.0
        initial = self._rules.initial_capacity
        return initial + (1.0 - initial) * max(0.0, age) / self._rules.slow_start_ms

    @staticmethod
    def slowdown(endpoint: Endpoint, slots: float, fraction: float) -> float:
        """Return by what a job of so many slots runs longer at an endpoint with this capacity fraction.

        A warming endpoint lacks cores, not speed: jobs slow down once they hold more slots than it has.
        """
        return max(1.0, (endpoint.slots_in_flight + slots) / (fraction * endpoint.capacity))

    def budget(self, endpoint: Endpoint, now: float) -> SlowStartBudget:
        """Return what a warming endpoint bears within a window, and this node's share of it."""
        bearable = self._bearable_work_per_ms(endpoint, now)
        weighted = self._rules.overload_multiple * max(endpoint.weight, bearable)
        bearable = weighted * self.capacity_fraction(endpoint, now)
        total = bearable * self._rules.overload_window_ms / self._statistics.demand.mean_cost
        for_each, for_some = divmod(self._planned_fraction * total, self._node_count)
        if self.is_handed_over:
            return SlowStartBudget(total, 0.0)
        extra = max(0.0, min(1.0, for_some - endpoint.slow_start_rank))
        return SlowStartBudget(total, for_each + extra)

    def _bearable_work_per_ms(self, endpoint: Endpoint, now: float) -> float:
        """Return the work per ms of a warm endpoint of this kind: planned, else as started promptly there."""
        measured = self._statistics.endpoints
        of_kind = measured.slowness_of_kind(endpoint.kind, now)
        of_fleet = measured.fleet_slowness.read(now, EVIDENCE_HALF_LIFE_MS, 1.0)
        speed = max(MIN_SPEED, min(MAX_SPEED, of_fleet / of_kind))
        if self._planned_jobs_per_ms:
            mean_cost = self._statistics.demand.mean_cost
            return self._planned_jobs_per_ms * mean_cost / self._peak_live_count * speed
        peers = (peer for peer in self._live if peer.kind == endpoint.kind)
        warm = (peer.capacity for peer in peers if self.capacity_fraction(peer, now) >= 1.0)
        return min(warm, default=0.0) / of_kind

    def assigned_endpoints(self, now: float) -> list[Endpoint]:
        """Return the warming endpoints that few nodes, and this one among them, may send to.

        Hardly anyone else draws them, so this node looks at them for each job.
        """
        if now >= self._reassign_at:
            self._reassign_at = now + REASSIGN_FRACTION * self._rules.overload_window_ms
            self._assigned = [endpoint for endpoint in self._live if self._is_assigned(endpoint, now)]
        return self._assigned

    def _is_assigned(self, endpoint: Endpoint, now: float) -> bool:
        if self.capacity_fraction(endpoint, now) >= 1.0:
            return False
        budget = self.budget(endpoint, now)
        return budget.share_jobs > 0.0 and SCARCE_BUDGET_FACTOR * budget.total_jobs < self._node_count

    def has_credit(self, endpoint: Endpoint, cost: float, now: float) -> bool:
        """Return whether this node may send a job of this cost to a warming endpoint (rule 4)."""
        budget = self.budget(endpoint, now)
        elapsed = now - endpoint.slow_start_credit_at
        gained = budget.share_jobs * elapsed / self._rules.overload_window_ms
        endpoint.slow_start_credit = min(MAX_CREDIT_JOBS, endpoint.slow_start_credit + gained)
        endpoint.slow_start_credit_at = now
        jobs = cost / self._statistics.demand.mean_cost
        if budget.share_jobs <= 0.0 or jobs > min(MAX_JOB_COST, MAX_BUDGET_FRACTION * budget.total_jobs):
            return False
        return endpoint.slow_start_credit >= min(1.0, jobs)

    def charge(self, endpoint: Endpoint, cost: float) -> None:
        """Take a job that is sent to the endpoint off the credit."""
        endpoint.slow_start_credit -= cost / self._statistics.demand.mean_cost
