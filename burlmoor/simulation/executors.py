"""The executors of a simulated cluster: their processes, and their attempts from arrival to end."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.simulation.cluster_spec import CancelEffect, ClusterSpec, WeightSource
from burlmoor.simulation.deduplication import is_duplicate
from burlmoor.simulation.records import DEDUPLICATED_RESULT, AttemptRecord, ClientRecord
from burlmoor.testbed.executor_model import ExecutorModel, JobProgress
from burlmoor.testbed.messages import JobState
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState
from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from burlmoor.engine.job import Attempt
    from burlmoor.simulation.discovery import SimulatedDiscovery
    from burlmoor.simulation.event_queue import EventQueue
    from burlmoor.simulation.network import ResponseNetwork

_EXECUTORS_PER_CELL = 3


class InFlightAttempt(NamedTuple):
    """An attempt that an executor has accepted and not yet ended."""

    record: AttemptRecord
    attempt: Attempt


@dataclass(slots=True)
class SimulatedExecutor:
    """One process of an executor; a restart creates a new one."""

    entry: EndpointEntry  # as on the endpoint list, except for its weight
    model: ExecutorModel
    is_running: bool = True
    next_step_at: float = math.inf
    in_flight: dict[str, InFlightAttempt] = field(default_factory=dict)  # by request id


class SimulatedExecutors:
    """Owns all executors of a cluster."""

    def __init__(
        self,
        spec: ClusterSpec,
        events: EventQueue,
        rng: random.Random,
        discovery: SimulatedDiscovery,
        network: ResponseNetwork,
        client_records: Mapping[str, ClientRecord],
        attempt_records: Sequence[AttemptRecord],
    ) -> None:
        self._spec = spec
        self._events = events
        self._rng = rng
        self._discovery = discovery
        self._network = network
        self._client_records = client_records
        self._attempt_records = attempt_records
        self._job_classes = {job_class.name: job_class for job_class in spec.settings.classes}
        self._executors: dict[str, SimulatedExecutor] = {}
        for number in range(spec.executor_count):
            self._add(f"x{number}", spec.zones[number % len(spec.zones)], 0.0)

    @property
    def names(self) -> list[str]:
        """The names of all executors, including those that are gone."""
        return list(self._executors)

    def is_running(self, name: str) -> bool:
        """Whether an executor's process runs."""
        return self._executors[name].is_running

    def entry(self, name: str) -> EndpointEntry:
        """Return an executor's current entry on the endpoint list."""
        executor = self._executors[name]
        return executor.entry._replace(weight=self._weight(executor))

    def listed(self) -> list[EndpointEntry]:
        """Return the complete endpoint list, without executors that are gone."""
        entries = [self.entry(name) for name in self._executors]
        return [entry for entry in entries if entry.state is not EndpointState.GONE]

    def _weight(self, executor: SimulatedExecutor) -> float:
        cores = self._spec.executor_spec.cores
        match self._spec.weight_source:
            case WeightSource.EQUAL:
                return 1.0
            case WeightSource.NOMINAL:
                return cores
            case WeightSource.LIVE:
                return cores / (1.0 + executor.model.job_count / cores)

    def drain(self, name: str, duration_ms: float) -> None:
        """Drain an executor: it rejects queued jobs, and its process is ended after `duration_ms`.

        Jobs that still run at that time end with `Outcome.RESET`.
        """
        executor = self._executors[name]
        if not executor.is_running or executor.entry.state is not EndpointState.LIVE:
            return
        executor.entry = executor.entry._replace(state=EndpointState.DRAINING)
        self._discovery.publish([self.entry(name)])
        for request_id in executor.model.take_queued(self._events.now):
            self._end(executor, request_id, Outcome.OVERLOADED)
        self._events.schedule(self._events.now + duration_ms, lambda: self.crash(name))

    def crash(self, name: str, restart_after_ms: float | None = None) -> None:
        """End an executor's process and its attempts, and restart it after `restart_after_ms` if given."""
        executor = self._executors[name]
        if not executor.is_running:
            return
        executor.is_running = False
        executor.entry = executor.entry._replace(state=EndpointState.GONE)
        for request_id in list(executor.in_flight):
            self._end(executor, request_id, Outcome.RESET)
        executor.next_step_at = math.inf
        self._discovery.publish([self.entry(name)])
        if restart_after_ms is not None:
            self._events.schedule(self._events.now + restart_after_ms, lambda: self.restart(name))

    def restart(self, name: str) -> None:
        """Start a new process of an executor, which has to warm up."""
        self._add(name, self._executors[name].entry.zone, self._events.now)
        self._discovery.publish([self.entry(name)])

    def _add(self, name: str, zone: str, started_at: float) -> None:
        # A restarted executor gets its cell and kind from the cell of its previous process.
        number = self._executors[name].entry.cell if name in self._executors else len(self._executors)
        entry = EndpointEntry(
            name,
            zone=zone,
            cell=number // _EXECUTORS_PER_CELL,
            kind=f"kind{number % 2}",
            started_at=started_at,
        )
        model = ExecutorModel(self._spec.executor_spec, self._events.now, in_slow_start=started_at > 0.0)
        self._executors[name] = SimulatedExecutor(entry, model)

    def accept(self, attempt: Attempt, record: AttemptRecord) -> None:
        """Accept an attempt that has arrived, or end it immediately."""
        executor = self._executors[attempt.endpoint]
        client = self._client_records[attempt.job.id]
        if not executor.is_running:
            self._network.report_end(attempt, record, Outcome.UNREACHABLE)
            return
        job_class = self._job_classes[client.job_class]
        if is_duplicate(record, job_class, self._attempt_records, self._events.now):
            self._network.report_end(attempt, record, Outcome.SERVED, DEDUPLICATED_RESULT)
            return
        is_draining = executor.entry.state is not EndpointState.LIVE
        request_id = client.request_id
        if is_draining or not executor.model.admit(self._events.now, request_id, client.work_ms):
            self._network.report_end(attempt, record, Outcome.OVERLOADED)
            return
        executor.in_flight[request_id] = InFlightAttempt(record, attempt)
        if self._rng.random() < self._spec.reset_fraction:
            self._network.report_end(attempt, record, Outcome.RESET)
        self._step(executor)

    def cancel(self, attempt: Attempt) -> None:
        """Drop a cancelled attempt if it is queued, unless `CancelEffect` is `NOTHING`."""
        executor = self._executors[attempt.endpoint]
        request_id = attempt.job.id
        if request_id in executor.in_flight and self._spec.cancel_effect is not CancelEffect.NOTHING:
            if executor.model.drop_queued(self._events.now, request_id):
                del executor.in_flight[request_id]
            self._step(executor)

    def _step(self, executor: SimulatedExecutor) -> None:
        """Report the progress of an executor's jobs, and schedule the next step."""
        for progress in executor.model.step(self._events.now):
            self._report_progress(executor, progress)
        due = executor.model.next_due_ms()
        if due < executor.next_step_at or executor.next_step_at <= self._events.now:
            executor.next_step_at = due
            if due < math.inf:
                self._events.schedule(due, lambda: self._step_if_due(executor, due))

    def _step_if_due(self, executor: SimulatedExecutor, due: float) -> None:
        if executor.is_running and executor.next_step_at == due:
            executor.next_step_at = math.inf
            self._step(executor)

    def _report_progress(self, executor: SimulatedExecutor, progress: JobProgress) -> None:
        in_flight = executor.in_flight.get(progress.job_id)
        if in_flight is None:
            return
        settings = self._spec.settings
        if progress.state is JobState.DONE:
            self._end(executor, progress.job_id, Outcome.SERVED)
        elif progress.state is JobState.STARTED:
            in_flight.record.began_at = self._events.now
            if settings.reports_start:
                self._network.report_started(in_flight.attempt, in_flight.record)
        elif settings.progress_interval_ms > 0.0:
            self._network.report_progress(in_flight.attempt, in_flight.record, progress.done_fraction)

    def _end(self, executor: SimulatedExecutor, request_id: str, outcome: Outcome) -> None:
        in_flight = executor.in_flight.pop(request_id, None)
        if in_flight is None:
            return
        if outcome is not Outcome.SERVED:
            self._network.report_end(in_flight.attempt, in_flight.record, outcome)
        elif self._rng.random() >= self._spec.lost_response_fraction:
            result = expected_result(in_flight.record)
            self._network.report_end(in_flight.attempt, in_flight.record, outcome, result)


def expected_result(record: AttemptRecord) -> bytes:
    """Return the result that an executor gives for an attempt."""
    return f"{record.request_id}@{record.executor}".encode()
