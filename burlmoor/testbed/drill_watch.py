"""The discovery-watch drill: executors drain while the nodes' watches are broken.

All watches stall at once, and right after that a quarter of the executors is announced as draining but stays
up. Later, another quarter is announced while discovery is down, and a third one after all watches were reset.
The claims are based on what clients and executors observed: the jobs that executors received are checked
against the changes that each node was notified of. A node counts as notified of a change once discovery has
written it to the node or the notification deadline has passed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burlmoor.testbed.drill import Claim, Drill, DrillParameters, Verdict, print_violations
from burlmoor.testbed.fleet.addresses import node_name
from burlmoor.testbed.fleet.audit import audit
from burlmoor.testbed.fleet.audit_result import RULES_CLAIM
from burlmoor.testbed.fleet.drill_fleet import executor_count, run_fleet
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule
from burlmoor.testbed.fleet.record import RunPlan, RunRecord
from burlmoor.testbed.local_cluster import executor_specs
from burlmoor.testbed.messages import EndpointHealth
from burlmoor.testbed.mutations import WATCH_MUTATIONS

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

DEFAULT_NODES = 6
_RATE_PER_NODE = 3.0  # jobs per second
_MIN_RATE = 60.0
_MAX_RATE = 150.0
_UTILIZATION = 0.4  # of all executors, of which a quarter or more drain
_MIN_SERVED = 0.9
_DRAINED_GROUPS = 3
_EXECUTOR_GROUPS = 4  # into which the executors are divided
_MIN_DRAIN_SECONDS = 1.0
_STALL_AT_SECONDS = 1.0
_DRAIN_DELAY_SECONDS = 0.3  # from the break of watches to the announcement of a drain
_MAX_STALL_DRAIN_END_SECONDS = 15.0  # from the start of the run
_RECOVERY_SECONDS = 2.0  # at the end of the run, without a drain


class DrainingExecutors(NamedTuple):
    """Names of the executors that drain, by the way in which the watches break."""

    at_stall: Sequence[str]
    at_reset: Sequence[str]
    at_outage: Sequence[str]


def make_schedule(seconds: float, seed: int, draining: DrainingExecutors) -> FaultSchedule:
    """Return faults that break the watches, each with the drain of another group of executors."""
    outage_at = 0.4 * seconds
    reset_at = 0.85 * seconds

    def drain(start: float, names: Sequence[str], until: float) -> Fault:
        """Return the drain of the named executors until a time, or until shortly before the run ends."""
        duration = max(_MIN_DRAIN_SECONDS, min(until, seconds - _RECOVERY_SECONDS) - start)
        return Fault(kind=FaultKind.EXECUTOR_DRAIN, start=start, duration=duration, executors=",".join(names))

    return FaultSchedule(
        seed,
        (
            Fault(kind=FaultKind.WATCH_STALL, start=_STALL_AT_SECONDS, duration=0.0, nodes="*"),
            drain(
                _STALL_AT_SECONDS + _DRAIN_DELAY_SECONDS,
                draining.at_stall,
                min(outage_at, _MAX_STALL_DRAIN_END_SECONDS),
            ),
            # The nodes count as notified of this drain some seconds after discovery is up again.
            Fault(
                kind=FaultKind.DISCOVERY_OUTAGE, start=outage_at, duration=0.1 * seconds, nodes=node_name(0)
            ),
            drain(outage_at + 0.05 * seconds, draining.at_outage, reset_at),
            Fault(kind=FaultKind.WATCH_RESET, start=reset_at, duration=0.0, nodes="*"),
            drain(reset_at + _DRAIN_DELAY_SECONDS, draining.at_reset, seconds),
        ),
    )


def judge(record: RunRecord, parameters: DrillParameters) -> Verdict:
    """Return the verdict on a run, and print rule violations."""
    audited = audit(record)
    print_violations(audited.violations)
    lost_ids = set(audited.lost_job_ids)
    requests = [request for request in record.requests if request.id not in lost_ids]
    served = sum(request.is_served for request in requests) / max(1, len(requests))
    notified = {
        (notification.node, notification.endpoint)
        for notification in record.notifications
        if notification.health is EndpointHealth.DRAINING
    }
    claims = {
        RULES_CLAIM: audited.violations_claim(),
        "served": Claim(served, _MIN_SERVED, is_lower_bound=True),
        "drains told, a node": Claim(len(notified) / record.plan.nodes, 1.0, is_lower_bound=True),
    }
    figures = {"jobs": float(len(record.requests)), "start s": record.startup_seconds}
    return Verdict(
        "watch", parameters.seed, parameters.seconds, claims, {**figures, **audited.excuse_figures()}
    )


def _make_plan(parameters: DrillParameters) -> RunPlan:
    nodes = parameters.nodes or DEFAULT_NODES
    executors = executor_count(nodes)
    names = list(executor_specs(executors))
    draining = DrainingExecutors(*(names[group::_EXECUTOR_GROUPS] for group in range(_DRAINED_GROUPS)))
    return RunPlan(
        nodes=nodes,
        executors=executors,
        seconds=parameters.seconds,
        seed=parameters.seed,
        rate=min(_MAX_RATE, max(_MIN_RATE, _RATE_PER_NODE * nodes)),
        utilization=_UTILIZATION,
        mutation=parameters.mutation,
        schedule=make_schedule(parameters.seconds, parameters.seed, draining),
    )


async def _run(parameters: DrillParameters, folder: Path) -> Verdict:
    return judge(await run_fleet(_make_plan(parameters), folder), parameters)


WATCH = Drill(
    "Discovery watches stall or are reset, or discovery is down, while executors are announced as draining.",
    _run,
    WATCH_MUTATIONS,
    has_variable_node_count=True,
)
