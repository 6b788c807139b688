"""The deferred-job drill: chains, fans, diamonds and bursts, under overload and failures.

Plain jobs demand 0.8 of the capacity of six executors in the first half, and 1.3 in the second. One executor
is killed, one drains, and one of the two nodes gets a planned restart. Every claim is based on what clients
and executors observed.
"""

from __future__ import annotations

import signal
from functools import partial
from typing import TYPE_CHECKING

import trio

from burlmoor.testbed.clock import now_ms, unix_now_ms
from burlmoor.testbed.deferred_schedule import CORES_PER_EXECUTOR, EXECUTOR_COUNT, ScheduledJob, draw_schedule
from burlmoor.testbed.deferred_verdict import judge
from burlmoor.testbed.drill import Drill, DrillParameters, Verdict
from burlmoor.testbed.event_record import RequestRecord, ShutdownPeriod
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.local_cluster import LocalCluster, local_cluster
from burlmoor.testbed.mutations import DEFERRED_MUTATIONS, mutated_node_command
from burlmoor.testbed.node_process import NODE_COMMAND

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from pathlib import Path

_OPTIONS = "[waiting]\nplaces = 60 %\n"
_KILL_AT_FRACTION = 0.2  # of the drill's duration
_DRAIN_AT_FRACTION = 0.45
_RESTART_AT_FRACTION = 0.6
_RESTARTED_NODE = 1
_REJECTING_AFTER_SECONDS = 1.9  # after SIGTERM; slightly before the documented 2 s
_CLIENTS_SWITCH_AFTER_SECONDS = 0.3  # after SIGTERM
_EXIT_TIMEOUT_SECONDS = 8.0
_MIN_SLEEP_SECONDS = 0.001


class _DrillRun:
    """One run on a cluster that has started; the run starts when this object is created."""

    def __init__(self, cluster: LocalCluster, schedule: Sequence[ScheduledJob], seconds: float) -> None:
        self.exit_statuses: list[int] = []
        self._cluster = cluster
        self._schedule = schedule
        self._seconds = seconds
        self._avoided_nodes: set[int] = set()  # clients send no jobs to these
        self._start_ms = now_ms()
        self._start_unix_ms = unix_now_ms()

    async def run(self) -> None:
        """Send every job at its scheduled time, cause the failures, and wait until no job is open."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cause_failures)
            for job in self._schedule:
                wait_seconds = job.at_seconds - (now_ms() - self._start_ms) / 1000.0
                if wait_seconds > _MIN_SLEEP_SECONDS:
                    await trio.sleep(wait_seconds)
                nursery.start_soon(self._send, job)

    async def _send(self, job: ScheduledJob) -> None:
        # All jobs of a family are sent to one node, as by one client, except while that node restarts.
        node = job.node if job.node not in self._avoided_nodes else 1 - job.node
        timeout_ms = job.timeout_ms or job.job_class.timeout_ms
        request = RequestRecord(
            job.id, job.job_class.name, now_ms(), timeout_ms, job.work_ms, job.run_after, node=node
        )
        if job.not_before_seconds:
            request.not_before_unix_ms = self._start_unix_ms + 1000.0 * job.not_before_seconds
        if job.disconnect_after_seconds:
            request.disconnect_at_ms = request.sent_ms + 1000.0 * job.disconnect_after_seconds
        await self._cluster.clients[node].send(request, reports_failure=job.is_failing)
        was_answered_first = (
            request.disconnect_at_ms is not None
            and request.answer_count
            and request.answered_ms is not None
            and request.answered_ms < request.disconnect_at_ms
        )
        if was_answered_first:
            request.disconnect_at_ms = None

    async def _cause_failures(self) -> None:
        seconds = self._seconds
        killed, drained, *_ = self._cluster.executors
        kill = partial(self._cluster.kill_executor, announced_after_seconds=1.0, restarted_after_seconds=3.0)
        drain = partial(self._cluster.drain_executor, restarted_after_seconds=1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call_after, _KILL_AT_FRACTION * seconds, partial(kill, killed))
            nursery.start_soon(_call_after, _DRAIN_AT_FRACTION * seconds, partial(drain, drained))
            nursery.start_soon(_call_after, _RESTART_AT_FRACTION * seconds, self._restart_node)

    async def _restart_node(self) -> None:
        node = self._cluster.nodes[_RESTARTED_NODE]
        node.send_signal(signal.SIGTERM)
        # A stopping node rejects its deferred jobs from 2 s after SIGTERM on, as documented. These jobs
        # are left out of the served ratio of released jobs.
        rejecting_ms = now_ms() + 1000.0 * _REJECTING_AFTER_SECONDS
        await trio.sleep(_CLIENTS_SWITCH_AFTER_SECONDS)
        self._avoided_nodes.add(_RESTARTED_NODE)
        assert node.process is not None
        with trio.move_on_after(_EXIT_TIMEOUT_SECONDS):
            self.exit_statuses.append(await node.process.wait())
        period = ShutdownPeriod(_RESTARTED_NODE, rejecting_ms, now_ms())
        self._cluster.event_record.shutdown_periods.append(period)
        await self._cluster.start_node(node)
        self._avoided_nodes.discard(_RESTARTED_NODE)


async def _call_after(seconds: float, call: Callable[[], Awaitable[None]]) -> None:
    await trio.sleep(seconds)
    await call()


async def _run(parameters: DrillParameters, folder: Path) -> Verdict:
    specs = {
        f"s-{number}": ExecutorSpec(cores=CORES_PER_EXECUTOR, slots=3, queue_capacity=12)
        for number in range(EXECUTOR_COUNT)
    }
    schedule = draw_schedule(parameters.seconds, parameters.seed)
    command = NODE_COMMAND if parameters.mutation is None else mutated_node_command(parameters.mutation)
    async with local_cluster(folder, specs, nodes=2, options=_OPTIONS, command=command) as cluster:
        cluster.event_record.unix_offset_ms = unix_now_ms() - now_ms()
        run = _DrillRun(cluster, schedule, parameters.seconds)
        await run.run()
    return judge(cluster.event_record, parameters.seed, parameters.seconds, run.exit_statuses)


DEFERRED = Drill(
    "Deferred jobs under overload, failures and a planned restart.",
    _run,
    DEFERRED_MUTATIONS,
)
