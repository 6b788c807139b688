"""Dispatch rounds: jobs are queued for some ticks and then placed together, in order of priority."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.policy.endpoint_scoring import RoundState
from burlmoor.policy.endpoint_selection import EndpointSelector
from burlmoor.policy.load_shedding import LoadShedder
from burlmoor.policy.statistics.endpoint_statistics import EVIDENCE_HALF_LIFE_MS

if TYPE_CHECKING:
    from burlmoor.policy.attempts import AttemptSender
    from burlmoor.policy.context import PolicyContext
    from burlmoor.policy.model.job import ScheduledJob

ROUND_TICKS = 3.0  # a round gathers jobs for about this many ticks, jittered by half
PRIORITY_PER_ROUND_WAITED = 0.05
MAX_FAILED_PLACEMENTS = 4  # a round ends after this many jobs in a row found no endpoint
URGENT_ROUNDS = 2.0  # a job is urgent if it would miss its objective by waiting for so many rounds
URGENT_RUN_FACTOR = 1.5  # and then running for so many times the usual time


class DispatchRounds:
    """The queue of jobs that wait for an endpoint, and the rounds that empty it."""

    def __init__(self, context: PolicyContext, sender: AttemptSender) -> None:
        self._tick_ms = context.settings.tick_ms
        self._round_ms = ROUND_TICKS * context.settings.tick_ms
        self._measured = context.statistics.endpoints
        self._endpoints = context.endpoints
        self._rng = context.rng
        self._selector = EndpointSelector(context)
        self._shedder = LoadShedder(context)
        self._sender = sender
        self.queue: dict[int, ScheduledJob] = {}
        self.next_round_at = math.inf

    def enqueue(self, job: ScheduledJob, now: float, ticks: float = ROUND_TICKS) -> None:
        """Queue a job for a round that comes after about so many ticks at most."""
        job.is_queued = True
        self.queue[job.id] = job
        self.next_round_at = min(self.next_round_at, self._jittered(now, ticks))

    def _jittered(self, now: float, ticks: float) -> float:
        return now + ticks * self._tick_ms * self._rng.uniform(0.5, 1.5)

    def queued_slots(self) -> float:
        """Return the slots that the jobs in the queue ask for."""
        return sum(job.slots for job in self.queue.values())

    def run(self, now: float) -> None:
        """Shed load, then place jobs, urgent ones first; what finds no endpoint waits, with more priority."""
        self.next_round_at = math.inf
        slowness = self._measured.fleet_slowness.read(now, EVIDENCE_HALF_LIFE_MS, 1.0)
        queue = self._shedder.shed(self._prioritized(), slowness, self._round_ms, now)
        for job in queue:
            run_ms = URGENT_RUN_FACTOR * slowness * job.work_ms
            job.is_urgent = now + URGENT_ROUNDS * self._round_ms + run_ms > job.objective_at
        state = RoundState(
            load_half_life=self._measured.load_half_life(now),
            saturation=self._endpoints.saturation(),
            is_mostly_urgent=2 * sum(job.is_urgent for job in queue) > len(queue),
        )
        self._selector.start_round(now)
        self._place_all(queue, state, now)
        if self.queue:
            self.next_round_at = self._jittered(now, ROUND_TICKS)

    def _prioritized(self) -> list[ScheduledJob]:
        queue = [job for job in self.queue.values() if job.is_queued and not job.is_closed]
        queue.sort(key=lambda job: job.priority + PRIORITY_PER_ROUND_WAITED * job.rounds_waited, reverse=True)
        return queue

    def _place_all(self, queue: list[ScheduledJob], state: RoundState, now: float) -> None:
        self.queue = {}
        failed_in_a_row = 0
        for job in sorted(queue, key=lambda job: not job.is_urgent):
            if failed_in_a_row < MAX_FAILED_PLACEMENTS and self._place(job, state, now):
                failed_in_a_row = 0
                continue
            failed_in_a_row += 1
            job.is_queued = True
            job.rounds_waited += 1
            self.queue[job.id] = job

    def _place(self, job: ScheduledJob, state: RoundState, now: float) -> bool:
        selection = self._selector.select(job, state, now)
        if selection is None:
            return False
        job.is_queued = False
        self._sender.send(job, selection, now)
        return True
