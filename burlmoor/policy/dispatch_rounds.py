"""Dispatch rounds: jobs are queued for some ticks and then placed together, in order of priority.

The rounds follow ATHOS (docs/design.md, "The policy").
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.policy.endpoint_scoring import RoundState

if TYPE_CHECKING:
    import random

    from burlmoor.policy.attempts import AttemptSender
    from burlmoor.policy.endpoint_selection import EndpointSelector
    from burlmoor.policy.endpoints.fleet_load import FleetLoad
    from burlmoor.policy.load_shedding import LoadShedder
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.statistics.run_statistics import RunStatistics

ROUND_TICKS = 3.0  # jobs are queued for a round for about this many ticks
REDISPATCH_TICKS = 1.0  # a job to be sent again waits for about this many ticks or fewer
MIN_JITTER, MAX_JITTER = 0.5, 1.5  # range of the random factor of a round's delay
PRIORITY_PER_ROUND_WAITED = 0.05
MAX_CONSECUTIVE_FAILURES = 4  # a round ends after this many consecutive jobs without an endpoint
# A job is urgent if it would miss its objective after waiting for URGENT_ROUNDS more rounds and then running
# for URGENT_RUN_FACTOR times its expected run time.
URGENT_ROUNDS = 2.0
URGENT_RUN_FACTOR = 1.5


class DispatchRounds:
    """Queues jobs that wait for an endpoint, and places them in rounds."""

    def __init__(
        self,
        tick_ms: float,
        runs: RunStatistics,
        load: FleetLoad,
        shedder: LoadShedder,
        selector: EndpointSelector,
        sender: AttemptSender,
        rng: random.Random,
    ) -> None:
        self._tick_ms = tick_ms
        self._round_ms = ROUND_TICKS * tick_ms
        self._runs = runs
        self._load = load
        self._shedder = shedder
        self._selector = selector
        self._sender = sender
        self._rng = rng
        self.queue: dict[int, ScheduledJob] = {}
        self.next_round_at = math.inf

    def enqueue(self, job: ScheduledJob, now: float, ticks: float = ROUND_TICKS) -> None:
        """Queue a job, and make sure that a round runs within about this many ticks."""
        job.is_queued = True
        self.queue[job.id] = job
        self.next_round_at = min(self.next_round_at, self._jittered_round_time(now, ticks))

    def enqueue_retry(self, job: ScheduledJob, now: float) -> None:
        """Requeue a job whose attempt has failed; it counts as having waited for a round."""
        job.rounds_waited += 1
        self.enqueue(job, now, REDISPATCH_TICKS)

    @staticmethod
    def withdraw(job: ScheduledJob) -> None:
        """Exclude a job from the next round, since one of its attempts has started."""
        job.is_queued = False

    def _jittered_round_time(self, now: float, ticks: float) -> float:
        return now + ticks * self._tick_ms * self._rng.uniform(MIN_JITTER, MAX_JITTER)

    def queued_slots(self) -> float:
        """Return the total slots of the queued jobs, with those withdrawn or closed since the last round."""
        return sum(job.slots for job in self.queue.values())

    def run(self, now: float) -> None:
        """Shed load, then place the remaining jobs, urgent ones first.

        Jobs that find no endpoint stay queued, with a higher priority in the next round.
        """
        self.next_round_at = math.inf
        slowness = self._runs.slowness_of_fleet(now)
        queue = self._shedder.shed(self._take_queued(), slowness, self._round_ms, now)
        for job in queue:
            run_ms = URGENT_RUN_FACTOR * slowness * job.work_ms
            job.is_urgent = now + URGENT_ROUNDS * self._round_ms + run_ms > job.objective_at
        state = RoundState(
            load_half_life=self._runs.load_half_life(now),
            saturation=self._load.saturation(),
            is_mostly_urgent=2 * sum(job.is_urgent for job in queue) > len(queue),
        )
        self._selector.start_round(now)
        self._place_all(queue, state, now)
        if self.queue:
            self.next_round_at = self._jittered_round_time(now, ROUND_TICKS)

    def _take_queued(self) -> list[ScheduledJob]:
        """Return the queued jobs in order of priority; `_place_all` requeues those that have to wait."""
        queue = [job for job in self.queue.values() if job.is_queued and not job.is_closed]
        for job in queue:
            job.is_queued = False
        queue.sort(key=lambda job: job.priority + PRIORITY_PER_ROUND_WAITED * job.rounds_waited, reverse=True)
        return queue

    def _place_all(self, queue: list[ScheduledJob], state: RoundState, now: float) -> None:
        self.queue = {}
        consecutive_failures = 0
        for job in sorted(queue, key=lambda job: not job.is_urgent):
            if consecutive_failures < MAX_CONSECUTIVE_FAILURES and self._place(job, state, now):
                consecutive_failures = 0
                continue
            consecutive_failures += 1
            job.is_queued = True
            job.rounds_waited += 1
            self.queue[job.id] = job

    def _place(self, job: ScheduledJob, state: RoundState, now: float) -> bool:
        selection = self._selector.select(job, state, now)
        if selection is None:
            return False
        self._sender.send(job, selection, now)
        return True
