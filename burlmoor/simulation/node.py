"""A node of a simulated cluster: the engine, with simulated parts in place of its sockets."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from burlmoor.engine.core import EngineCore
from burlmoor.engine.engine import Engine
from burlmoor.log_events import ActionFailed, AnsweredAtDeadline, PolicyFailed
from burlmoor.simulation.records import AnswerRecord, AttemptRecord, ClientRecord, EndpointNotification
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.engine.job import Attempt, Job
    from burlmoor.log_events import LogEvent
    from burlmoor.simulation.cluster_spec import ClusterSpec
    from burlmoor.simulation.event_queue import EventQueue
    from burlmoor.simulation.executors import SimulatedExecutors
    from burlmoor.types.events import JobRequest

_INTERNAL_ERROR_EVENTS = (PolicyFailed, ActionFailed, AnsweredAtDeadline)
_HEALTH_CHECK_ELAPSED_MS = 4.0  # reported for every health check


@dataclass(frozen=True, slots=True)
class SimulatedClient:
    """The client's side of one job; records its answers."""

    record: ClientRecord
    events: EventQueue

    def detect_disconnect(self) -> bool:
        """Return False: the simulation reports each disconnect when it occurs."""
        return False

    def respond(self, answer: FinalAnswer) -> None:
        """Record an answer."""
        self.record.answers.append(AnswerRecord(self.events.now, answer))


@dataclass(frozen=True, slots=True)
class NodeRecorder:
    """Where nodes record their notifications, the attempts they sent, and the internal errors they logged."""

    attempt_records: list[AttemptRecord]
    notifications: list[EndpointNotification]
    internal_errors: list[str]


class SimulatedNode:
    """One process of a node; a restart creates a new one, of the next generation."""

    def __init__(
        self,
        index: int,
        generation: int,
        seed: int,
        spec: ClusterSpec,
        events: EventQueue,
        executors: SimulatedExecutors,
        client_records: dict[str, ClientRecord],
        recorder: NodeRecorder,
    ) -> None:
        self.index = index
        self.generation = generation
        self.is_alive = True
        self.jobs: dict[str, Job] = {}  # by request id
        self._spec = spec
        self._events = events
        self._executors = executors
        self._client_records = client_records
        self._recorder = recorder
        self._next_step_at = math.inf
        zone = spec.zones[index % len(spec.zones)]
        settings = replace(spec.settings, node_index=index, zone=zone)
        self.core = EngineCore(settings, seed, lambda: events.now, self._on_log_event, self._wake)
        self.engine = Engine(self.core, self, self)

    def start(self) -> None:
        """Start with the current endpoint list, as if it had been cached."""
        self.on_endpoint_list(ListKind.CACHED, self._executors.listed())

    def _on_log_event(self, event: LogEvent) -> None:
        if isinstance(event, _INTERNAL_ERROR_EVENTS):
            self._recorder.internal_errors.append(repr(event))

    def _wake(self) -> None:
        self._events.schedule(self._events.now, self._step)

    def _step(self) -> None:
        if not self.is_alive:
            return
        now = self._events.now
        if self.engine.next_due() <= now:
            self.engine.step()
        due = self.engine.next_due()
        # Unless a step is already scheduled between now and then.
        if due < math.inf and not now < self._next_step_at <= due:
            self._next_step_at = due
            self._events.schedule(due, self._step)

    def on_list_changed(self, entries: list[EndpointEntry]) -> None:
        """Apply changes of the endpoint list."""
        self.on_endpoint_list(ListKind.DELTA, entries)

    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None:
        """Apply the endpoint list, or changes to it."""
        if not self.is_alive:
            return
        states = {entry.endpoint: (entry.state, entry.started_at) for entry in entries}
        if kind is not ListKind.DELTA:
            unlisted = dict.fromkeys(self._executors.names, (EndpointState.GONE, 0.0))
            states = {**unlisted, **states}
        for name, (state, started_at) in states.items():
            self._recorder.notifications.append(
                EndpointNotification(self._events.now, self.index, name, state, started_at)
            )
        self.core.policy.on_endpoint_list(kind, entries)
        self._wake()

    def on_job(self, record: ClientRecord, request: JobRequest) -> None:
        """Admit or reject a client's job."""
        job = self.engine.admit(SimulatedClient(record, self._events), record.request_id, request, None)
        if job is not None:
            self.jobs[record.request_id] = job
        self._wake()

    def on_client_disconnected(self, request_id: str) -> None:
        """Notify the engine that a job's client has disconnected."""
        self.core.lifecycle.on_client_disconnected(self.jobs[request_id])

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt; it arrives after the network's delay."""
        client = self._client_records[attempt.job.id]
        entry = self._executors.entry(attempt.endpoint)
        record = AttemptRecord(
            client.request_id,
            entry.endpoint,
            entry.zone,
            entry.cell,
            self.index,
            self._events.now,
            client.work_ms,
            entry.started_at,
            self.generation,
        )
        self._recorder.attempt_records.append(record)
        self._after_network_delays(1, lambda: self._executors.accept(attempt, record))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt; the cancellation arrives after the network's delay."""
        record = self._find_record(attempt)
        if record.outcome is None:
            record.outcome = attempt.outcome or Outcome.CANCELLED
            record.outcome_known_at = self._events.now
        self._after_network_delays(1, lambda: self._executors.cancel(attempt))
        self._after_network_delays(2, lambda: self.core.lifecycle.on_cancellation_confirmed(attempt))

    def check_health(self, endpoint: str) -> None:
        """Check whether an executor's process runs; the result arrives after a network round trip."""
        outcome = Outcome.SERVED if self._executors.is_running(endpoint) else Outcome.UNREACHABLE
        self._after_network_delays(
            2, lambda: self.core.policy.on_health_checked(endpoint, outcome, _HEALTH_CHECK_ELAPSED_MS)
        )

    def _find_record(self, attempt: Attempt) -> AttemptRecord:
        return next(
            record
            for record in reversed(self._recorder.attempt_records)
            if record.request_id == attempt.job.id and record.executor == attempt.endpoint
        )

    def _after_network_delays(self, count: int, action: Callable[[], None]) -> None:
        self._events.schedule(self._events.now + count * self._spec.network_delay_ms, action)

    def watch(self) -> None:
        """Fetch the endpoint list once; `SimulatedDiscovery` publishes later changes to every node anyway."""
        entries = self._executors.listed()
        arrives_at = self._events.now + self._spec.list_delay_ms[0]
        self._events.schedule(arrives_at, lambda: self.on_endpoint_list(ListKind.SNAPSHOT, entries))

    def fetch(self) -> None:
        """Fetch the complete endpoint list once."""
        self.watch()
