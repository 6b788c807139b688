"""Simulates, in virtual time, many dispatchers that send jobs to the same endpoints."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.actions import CancelAttempt, FailJob, RejectJob, SetTimer, StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointListUpdate,
    Event,
    JobRequest,
    TimerFired,
)
from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from burlmoor.types.settings import Settings

NETWORK_DELAY_MS = 2.0  # one way, between a node and an endpoint


class AttemptKey(NamedTuple):
    """Identifies an attempt in the fleet."""

    node: int
    job: int
    number: int


class FleetJob(NamedTuple):
    """A job that a client has sent."""

    requested_at: float
    work_ms: float
    key: str


@dataclass
class SimulatedEndpoint:
    """An endpoint that runs as many jobs concurrently as it has slots, and queues the others in order."""

    entry: EndpointEntry
    free_slots: int = 4
    is_silent: bool = False  # it has disappeared and reports nothing
    is_faulty: bool = False  # it ends each job with an error at once
    queue: deque[AttemptKey] = field(default_factory=deque)


class SimulatedFleet:
    """Nodes, endpoints and a clock; `request` and `generate_load` send jobs. Times are in ms."""

    def __init__(
        self,
        settings: Settings,
        listed: Sequence[EndpointEntry],
        seed: int = 1,
        slots: int = 4,
        now: float = 1000.0,
    ) -> None:
        self.listed = listed
        self.slots = slots
        self.now = now
        self.rng = random.Random(seed)
        self.nodes = [
            Dispatcher(replace(settings, node_index=index), seed * 1000 + index)
            for index in range(settings.node_count)
        ]
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []  # time, sequence number, action
        self.schedule_count = 0
        self.last_job_id = 0
        self.jobs: dict[int, FleetJob] = {}
        self.attempt_counts: Counter[tuple[int, int]] = Counter()  # by node and job
        self.pending_attempts: set[AttemptKey] = set()
        self.final_answers: dict[int, str] = {}
        # Time, endpoint and work of each attempt; plain tuples, because a golden digest covers their repr.
        self.sends: list[tuple[float, str, float]] = []
        self.send_list(range(len(self.nodes)), ListKind.CACHED, self.listed)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action for the time `when`."""
        self.schedule_count += 1
        heapq.heappush(self.scheduled, (when, self.schedule_count, action))

    def send_list(self, nodes: Iterable[int], kind: ListKind, entries: Sequence[EndpointEntry]) -> None:
        """Send a list to some nodes; endpoints that are new or have restarted are ready at once."""
        for entry in entries:
            known = self.endpoints.get(entry.endpoint)
            if known is None or known.entry.started_at != entry.started_at:
                self.endpoints[entry.endpoint] = SimulatedEndpoint(entry, self.slots)
        for node in nodes:
            self.handle(node, EndpointListUpdate(kind, list(entries)))

    def request(
        self,
        job_class: str,
        work_ms: float,
        key: str = "",
        timeout_ms: float = 5000.0,
        node: int | None = None,
    ) -> None:
        """Send a client's job to a random node, or to the one given."""
        self.last_job_id += 1
        self.jobs[self.last_job_id] = FleetJob(self.now, work_ms, key)
        node = self.rng.randrange(len(self.nodes)) if node is None else node
        self.handle(node, JobRequest(self.last_job_id, job_class, timeout_ms, work_ms, affinity_key=key))

    def generate_load(
        self,
        jobs_per_second: float,
        until: float,
        make_job: Callable[[random.Random], tuple[str, float, str]],
    ) -> None:
        """Send jobs at this mean rate up to the time `until`; `make_job` draws class, work and key."""

        def send_one() -> None:
            self.request(*make_job(self.rng))
            if self.now < until:
                self.schedule(self.now + self.rng.expovariate(jobs_per_second / 1000.0), send_one)

        self.schedule(self.now, send_one)

    def run_until(self, until: float) -> None:
        """Run the scheduled actions up to the time `until`."""
        while self.scheduled and self.scheduled[0][0] <= until:
            self.now, _, action = heapq.heappop(self.scheduled)
            action()
        self.now = until

    def handle(self, node: int, event: Event) -> None:
        """Pass an event to one node, and execute the actions that it returns."""
        for action in self.nodes[node].handle(self.now, [event]):
            match action:
                case StartAttempt():
                    self._start_attempt(node, action)
                case SetTimer():
                    self.schedule(
                        self.now + max(action.delay_ms, 1.0), lambda: self.handle(node, TimerFired(0))
                    )
                case CancelAttempt():
                    self._end_attempt(AttemptKey(node, action.id, action.attempt), Outcome.CANCELLED)
                case RejectJob() | FailJob():
                    self.final_answers.setdefault(action.id, "refused")  # golden digests cover this text

    def _start_attempt(self, node: int, action: StartAttempt) -> None:
        endpoint = self.endpoints[action.endpoint]
        attempt = AttemptKey(node, action.id, self.attempt_counts[node, action.id])
        self.attempt_counts[node, action.id] += 1
        self.pending_attempts.add(attempt)
        self.sends.append((self.now, action.endpoint, self.jobs[action.id].work_ms))
        if endpoint.is_faulty:
            self._end_attempt(attempt, Outcome.ERROR, action.endpoint)
        elif not endpoint.is_silent:
            endpoint.queue.append(attempt)
            self.schedule(self.now + NETWORK_DELAY_MS, lambda: self._start_queued(endpoint))

    def _start_queued(self, endpoint: SimulatedEndpoint) -> None:
        while endpoint.queue and endpoint.free_slots > 0 and not endpoint.is_silent:
            attempt = endpoint.queue.popleft()
            if attempt not in self.pending_attempts:
                continue
            endpoint.free_slots -= 1
            self.handle(attempt.node, AttemptStarted(attempt.job, attempt.number, endpoint.entry.endpoint))
            ends_at = self.now + self.jobs[attempt.job].work_ms
            self.schedule(ends_at, partial(self._finish_run, endpoint, attempt))

    def _finish_run(self, endpoint: SimulatedEndpoint, attempt: AttemptKey) -> None:
        endpoint.free_slots += 1
        if not endpoint.is_silent:
            self._end_attempt(attempt, Outcome.SERVED, endpoint.entry.endpoint)
        self._start_queued(endpoint)

    def _end_attempt(self, attempt: AttemptKey, outcome: Outcome, endpoint: str = "") -> None:
        if attempt not in self.pending_attempts:
            return
        self.pending_attempts.discard(attempt)
        node, job, number = attempt
        is_closed = outcome is Outcome.SERVED or job in self.final_answers
        if outcome is Outcome.SERVED:
            self.final_answers.setdefault(job, "served")
        elapsed_ms = self.now - self.jobs[job].requested_at
        event = AttemptEnded(job, number, endpoint, outcome, elapsed_ms, is_closed)
        self.schedule(self.now + NETWORK_DELAY_MS, lambda: self.handle(node, event))

    def fraction_answered(self, answer: str, key: str | None = None) -> float:
        """Return which fraction of all jobs, or of the jobs with this key, got this answer."""
        jobs = [job_id for job_id, job in self.jobs.items() if key in (None, job.key)]
        return sum(self.final_answers.get(job) == answer for job in jobs) / len(jobs)
