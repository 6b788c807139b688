"""Slow start: limits the jobs that all nodes together send to a recently started endpoint.

An endpoint in slow start has a fraction of its capacity. No node knows what the others send to it, so each
stays within its share of a common budget. The shares follow from an order of the nodes that is specific to
each endpoint and that all nodes agree on; see "Dividing a slow-start budget" in docs/design.md.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.statistics.node_statistics import NodeStatistics
    from burlmoor.types.settings import Settings

# The fraction of an endpoint's budget that the nodes plan to use; in the worst case they use 3 times as much.
MIN_PLANNED_FRACTION = 0.3
SINGLE_NODE_PLANNED_FRACTION = 0.5  # higher, since fewer nodes together save up and overdraw less credit
PLANNED_FRACTION_STEP = 0.005  # subtracted per node
MAX_JOB_COST = 2.0  # times the mean cost: the largest job for an endpoint in slow start
MAX_BUDGET_FRACTION = 0.5  # of the endpoint's budget: the largest job it may get
MAX_CREDIT_JOBS = 1.0  # a node saves up credit for at most one job, and overdraws it by at most one
MIN_SPEED, MAX_SPEED = 0.5, 1.5  # bounds on the speed of a kind relative to the fleet
SCARCE_BUDGET_FACTOR = 3.0  # a budget is scarce if it has fewer jobs than the number of nodes divided by this
REASSIGN_FRACTION = 0.1  # of the overload window: the interval between updates of a node's assigned endpoints


class SlowStartBudget(NamedTuple):
    """The budget of an endpoint in slow start for one overload window, in jobs of mean cost."""

    total_jobs: float
    node_jobs: float  # this node's share


class SlowStart:
    """Computes the budgets of endpoints in slow start and this node's share of each. Times are in ms."""

    def __init__(self, settings: Settings, statistics: NodeStatistics, rng: random.Random) -> None:
        self._rules = settings.rules
        self._node_count = settings.node_count
        self._node_index = settings.node_index
        self._statistics = statistics
        self._rng = rng
        # The sum of all tenants' quotas, or 0 without quotas.
        self._quota_jobs_per_ms = sum(tenant.quota_per_second for tenant in settings.tenants) / 1000.0
        self._planned_fraction = max(
            MIN_PLANNED_FRACTION, SINGLE_NODE_PLANNED_FRACTION - PLANNED_FRACTION_STEP * self._node_count
        )
        self._live: Sequence[Endpoint] = ()
        self._peak_live_count = 1
        self._assigned: list[Endpoint] = []
        self._reassign_at = 0.0
        self._is_handed_over = False  # whether another process of this node now uses its budgets

    def set_live_endpoints(self, live: Sequence[Endpoint]) -> None:
        """Set the live endpoints. The budgets of removed ones are not redistributed among the others."""
        self._live = live
        self._reassign_at = 0.0
        self._peak_live_count = max(self._peak_live_count, len(live))

    def set_handed_over(self, *, is_handed_over: bool) -> None:
        """Set whether another process admits this node's jobs and uses its budgets instead of this one."""
        self._is_handed_over = is_handed_over

    def rank_of_node(self, name_hash: int) -> int:
        """Return this node's rank in an endpoint's order of all nodes, which all nodes agree on.

        A node without an index gets a random rank.
        """
        nodes = self._node_count
        step = name_hash // nodes % nodes
        while math.gcd(step, nodes) != 1:
            step += 1
        if self._node_index is None:
            return self._rng.randrange(nodes)
        return (self._node_index * step + name_hash) % nodes

    def capacity_fraction(self, endpoint: Endpoint, now: float) -> float:
        """Return the least fraction of its full capacity that an endpoint has now; 1 after its slow start."""
        started_at = endpoint.entry.started_at
        age = now - started_at
        if started_at <= 0.0 or age >= self._rules.slow_start_ms:
            return 1.0
        initial = self._rules.initial_capacity_fraction
        return initial + (1.0 - initial) * max(0.0, age) / self._rules.slow_start_ms

    @staticmethod
    def slowdown(endpoint: Endpoint, slots: float, fraction: float) -> float:
        """Return the factor by which a job with this many slots runs longer at an endpoint in slow start.

        Such an endpoint is assumed to have fewer cores, not slower ones: `fraction` of as many cores as this
        node's capacity there has slots. Jobs slow down once they hold more slots than that.
        """
        return max(1.0, (endpoint.slots_in_flight + slots) / (fraction * endpoint.capacity))

    def budget(self, endpoint: Endpoint, now: float) -> SlowStartBudget:
        """Return the budget of an endpoint in slow start for one overload window."""
        sustainable_per_ms = self._sustainable_work_per_ms(endpoint, now)
        warm_limit_per_ms = self._rules.overload_multiple * max(endpoint.weight, sustainable_per_ms)
        limit_per_ms = warm_limit_per_ms * self.capacity_fraction(endpoint, now)
        total = limit_per_ms * self._rules.overload_window_ms / self._statistics.demand.mean_cost
        jobs_per_node, remaining_jobs = divmod(self._planned_fraction * total, self._node_count)
        if self._is_handed_over:
            return SlowStartBudget(total, 0.0)
        extra = max(0.0, min(1.0, remaining_jobs - endpoint.slow_start_rank))
        return SlowStartBudget(total, jobs_per_node + extra)

    def _sustainable_work_per_ms(self, endpoint: Endpoint, now: float) -> float:
        """Return the work per ms that an endpoint of this kind can sustain after its slow start.

        It is derived from the tenants' quotas or, without quotas, from the lowest capacity of the kind's warm
        endpoints (those that have completed their slow start).
        """
        runs = self._statistics.runs
        kind_slowness = runs.slowness_of_kind(endpoint.kind, now)
        fleet_slowness = runs.slowness_of_fleet(now)
        speed = max(MIN_SPEED, min(MAX_SPEED, fleet_slowness / kind_slowness))
        if self._quota_jobs_per_ms:
            mean_cost = self._statistics.demand.mean_cost
            return self._quota_jobs_per_ms * mean_cost / self._peak_live_count * speed
        peers = (peer for peer in self._live if peer.kind == endpoint.kind)
        warm = (peer.capacity for peer in peers if self.capacity_fraction(peer, now) >= 1.0)
        return min(warm, default=0.0) / kind_slowness

    def assigned_endpoints(self, now: float) -> list[Endpoint]:
        """Return the endpoints in slow start that only few nodes, including this one, may send to.

        These are the ones with a scarce budget of which this node has a share. They are candidates for every
        job of this node, since few other nodes send them jobs.
        """
        if now >= self._reassign_at:
            self._reassign_at = now + REASSIGN_FRACTION * self._rules.overload_window_ms
            self._assigned = [endpoint for endpoint in self._live if self._is_assigned(endpoint, now)]
        return self._assigned

    def _is_assigned(self, endpoint: Endpoint, now: float) -> bool:
        if self.capacity_fraction(endpoint, now) >= 1.0:
            return False
        budget = self.budget(endpoint, now)
        return budget.node_jobs > 0.0 and SCARCE_BUDGET_FACTOR * budget.total_jobs < self._node_count

    def has_credit(self, endpoint: Endpoint, cost: float, now: float) -> bool:
        """Add the credit gained since the last call; return whether it suffices for a job of this cost.

        Always False for an endpoint of whose budget this node has no share, and for jobs that are too large.
        """
        budget = self.budget(endpoint, now)
        elapsed = now - endpoint.slow_start_credit_at
        gained = budget.node_jobs * elapsed / self._rules.overload_window_ms
        endpoint.slow_start_credit = min(MAX_CREDIT_JOBS, endpoint.slow_start_credit + gained)
        endpoint.slow_start_credit_at = now
        jobs = cost / self._statistics.demand.mean_cost
        if budget.node_jobs <= 0.0 or jobs > min(MAX_JOB_COST, MAX_BUDGET_FRACTION * budget.total_jobs):
            return False
        return endpoint.slow_start_credit >= min(1.0, jobs)

    def charge(self, endpoint: Endpoint, cost: float) -> None:
        """Subtract the cost of a job that is sent to the endpoint from this node's credit."""
        endpoint.slow_start_credit -= cost / self._statistics.demand.mean_cost
