"""The drill of deferred jobs: chains, fans, diamonds and bursts, under pressure and failures.

Two nodes, six executors. Plain jobs demand 0.8 of the executors' capacity in the first half, then 1.3.
One executor is killed, one drains, one node gets a planned restart. Every claim rests on what clients and
executors observed.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

import trio

from burlmoor.testbed.clock import now_ms, unix_now_ms
from burlmoor.testbed.deferred_schedule import CORES, EXECUTORS, ScheduledJob, draw_schedule
from burlmoor.testbed.deferred_verdict import judge
from burlmoor.testbed.drill import Drill, DrillParameters, Verdict
from burlmoor.testbed.event_record import ClosingPeriod, RequestRecord
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.local_cluster import LocalCluster, local_cluster
from burlmoor.testbed.mutations import DEFERRED_MUTATIONS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from pathlib import Path

_OPTIONS = "[waiting]\nplaces = 60 %\n"
_RESTARTED_NODE = 1
_REJECTING_AFTER_SECONDS = 1.9  # after SIGTERM; the node's page says 2 s
_CLIENTS_MOVE_AFTER_SECONDS = 0.3  # after SIGTERM
_EXIT_WITHIN_SECONDS = 8.0
_MIN_SLEEP_SECONDS = 0.001


class _DrillRun:
    """One drill under way on a cluster that has started."""

    def __init__(self, cluster: LocalCluster, schedule: Sequence[ScheduledJob], seconds: float) -> None:
        self.exit_statuses: list[int] = []
        self._cluster = cluster
        self._schedule = schedule
        self._seconds = seconds
        self._avoided_nodes: set[int] = set()  # nodes to which clients send nothing
        self._begin_ms = 0.0
        self._begin_unix_ms = 0.0

    async def run(self) -> None:
        """Send every job at its time, cause the failures, and wait until all jobs are answered."""
        self._begin_ms = now_ms()
        self._begin_unix_ms = unix_now_ms()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cause_failures)
            for job in self._schedule:
                wait_seconds = job.at_seconds - (now_ms() - self._begin_ms) / 1000.0
                if wait_seconds > _MIN_SLEEP_SECONDS:
                    await trio.sleep(wait_seconds)
                nursery.start_soon(self._send, job)

    async def _send(self, job: ScheduledJob) -> None:
        # All jobs of a family go to one node, as a client would keep to it, except while it restarts.
        node = job.node if job.node not in self._avoided_nodes else 1 - job.node
        timeout_ms = job.timeout_ms or job.job_class.timeout_ms
        request = RequestRecord(
            job.id, job.job_class.name, now_ms(), timeout_ms, job.work_ms, job.run_after, node=node
        )
        if job.not_before_seconds:
            request.not_before_unix_ms = self._begin_unix_ms + 1000.0 * job.not_before_seconds
        if job.disconnect_after_seconds:
            request.disconnected_ms = request.sent_ms + 1000.0 * job.disconnect_after_seconds
        await self._cluster.clients[node].send(request, fails=job.is_failing)
        was_answered_first = (
            request.disconnected_ms is not None
            and request.answer_count
            and request.answered_ms is not None
            and request.answered_ms < request.disconnected_ms
        )
        if was_answered_first:
            request.disconnected_ms = None

    async def _cause_failures(self) -> None:
        seconds = self._seconds
        killed, drained, *_ = self._cluster.executors
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call_after, 0.2 * seconds, self._cluster.kill_executor, killed, 1.0, 3.0)
            nursery.start_soon(_call_after, 0.45 * seconds, self._cluster.drain_executor, drained, 1.0)
            nursery.start_soon(_call_after, 0.6 * seconds, self._restart_node)

    async def _restart_node(self) -> None:
        node = self._cluster.nodes[_RESTARTED_NODE]
        node.send_signal(signal.SIGTERM)
        # From 2 s on a stopping node rejects its deferred jobs, as documented: without this they would count
        # against how well it serves released jobs.
        rejecting_ms = now_ms() + 1000.0 * _REJECTING_AFTER_SECONDS
        await trio.sleep(_CLIENTS_MOVE_AFTER_SECONDS)
        self._avoided_nodes.add(_RESTARTED_NODE)
        assert node.process is not None
        with trio.move_on_after(_EXIT_WITHIN_SECONDS):
            self.exit_statuses.append(await node.process.wait())
        period = ClosingPeriod(_RESTARTED_NODE, rejecting_ms, now_ms())
        self._cluster.event_record.closing_periods.append(period)
        await self._cluster.start_node(node)
        self._avoided_nodes.discard(_RESTARTED_NODE)


async def _call_after(seconds: float, call: Callable[..., Awaitable[None]], *arguments: object) -> None:
    await trio.sleep(seconds)
    await call(*arguments)


async def _run(parameters: DrillParameters, folder: Path) -> Verdict:
    specs = {
        f"s-{number}": ExecutorSpec(cores=CORES, slots=3, queue_capacity=12) for number in range(EXECUTORS)
    }
    schedule = draw_schedule(parameters.seconds, parameters.seed)
    async with local_cluster(folder, specs, nodes=2, options=_OPTIONS, start=False) as cluster:
        if parameters.mutation is not None:
            for node in cluster.nodes:
                node.command = [sys.executable, "-m", "burlmoor.testbed.mutations", parameters.mutation]
        await cluster.start()
        cluster.event_record.unix_offset_ms = unix_now_ms() - now_ms()
        run = _DrillRun(cluster, schedule, parameters.seconds)
        await run.run()
    return judge(cluster.event_record, parameters.seed, parameters.seconds, run.exit_statuses)


WAITING = Drill(
    "Jobs that wait, under pressure, failures and a planned restart.",
    _run,
    DEFERRED_MUTATIONS,
)
