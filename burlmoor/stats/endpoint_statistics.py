"""The worker book: what one node has learnt of executors and of how its jobs come out.

It chooses nothing: `burlmoor/policy` asks it. Times are ms. Each figure forgets, and falls back from the
worker to its kind to the fleet while there is little evidence.
"""

from __future__ import annotations

import math
from collections import defaultdict

from burlmoor.stats.decayed_mean import DecayedMean
from burlmoor.stats.endpoint import Endpoint

SKILL_HALF = 8000.0  # evidence on speed and stability halves in this time
BANDS = 5  # complexity classes, by the hint's size against the mean
# The spread of what jobs take against what is expected, as a logarithm, before any is seen; its weight.
OFF, OFF_TRUST = 0.4, 5.0
LOW = -5.0  # what a ms earns before any job was sent, as a logarithm: nobody is kept away for it
OFF_HALF = 30_000.0  # evidence on it halves in this time
REVIEW = 100.0  # how often it is worked out anew


class EndpointStatistics:
    """The worker book: learned time, waiting and stability, each falling back worker -> kind -> fleet."""

    def __init__(self, tick: float) -> None:
        self.tick = tick
        self.fleet_slow, self.fleet_clean, self.promptness = DecayedMean(), DecayedMean(), DecayedMean()
        self.kind_slow: dict[str, DecayedMean] = defaultdict(DecayedMean)
        self.usual_delay: dict[tuple[str, str], DecayedMean] = defaultdict(DecayedMean)
        self.delay_lately: dict[tuple[str, str], DecayedMean] = defaultdict(DecayedMean)
        self.hit, self.miss = (
            DecayedMean(),
            DecayedMean(),
        )  # what jobs took beyond their time, key at hand or not
        self.mean_work, self.mean_run = DecayedMean(), DecayedMean()
        self.fleet_value = DecayedMean()  # what a ms of a slot promised to earn, as a logarithm
        self.kind_value: dict[str, DecayedMean] = defaultdict(DecayedMean)
        self.off, self.off_square = (
            defaultdict[str, DecayedMean](DecayedMean),
            defaultdict[str, DecayedMean](DecayedMean),
        )  # by class
        self._spreads: dict[str, tuple[float, float, float]] = {}  # when worked out, mean, spread
        self.prompt: dict[str, float] = {}  # per zone, how soon an idle executor tells of a start

    def pace(self, now: float) -> float:
        """The half-life of news on load: as long as two jobs run."""
        return 2.0 * self.mean_run.read(now, SKILL_HALF, 500.0)

    def band(self, work: float, now: float) -> int:
        """The complexity class of a job, by its hinted work against the mean."""
        mean = self.mean_work.read(now, SKILL_HALF, work)
        return max(0, min(BANDS - 1, BANDS // 2 + round(math.log2(max(work, 1e-3) / max(mean, 1e-3)))))

    def kind(self, kind: str, now: float) -> float:
        """Time taken per unit of hinted work on this kind of executor."""
        return self.kind_slow[kind].read(now, SKILL_HALF, self.fleet_slow.read(now, SKILL_HALF, 1.0), 2.0)

    def fastest(self, now: float, unknown: float) -> float:
        """Time taken per unit of hinted work on the fastest kind; `unknown` where no kind has been met."""
        return min((self.kind(kind, now) for kind in self.kind_slow), default=unknown)

    def slowness(self, worker: Endpoint, band: int, kind: float, now: float) -> float:
        """Time per unit of hinted work at this worker for this complexity class."""
        return worker.cells[band].read(now, SKILL_HALF, worker.slow.read(now, SKILL_HALF, kind, 2.0), 3.0)

    def delay(self, worker: Endpoint, now: float, pace: float) -> float:
        """Expected wait at this worker, from start delays seen there lately, else on its kind in its zone.

        There too what was seen lately goes first: a node of many has hardly met this worker, and a burst is
        over in seconds.
        """
        of_kind = worker.zone, worker.kind
        usual = self.usual_delay[of_kind].read(now, SKILL_HALF, 0.0)
        return worker.delay.read(now, pace, self.delay_lately[of_kind].read(now, pace, usual))

    def stability(self, worker: Endpoint, now: float) -> float:
        """The share of jobs done cleanly here, against the whole fleet's so that none is judged alone."""
        return worker.clean.read(now, SKILL_HALF, self.fleet_clean.read(now, SKILL_HALF, 1.0, 4.0), 2.0)

    def setup(self, now: float) -> float:
        """What a job takes longer where its key is not at hand."""
        return max(0.0, self.miss.read(now, SKILL_HALF, 0.0, 4.0) - self.hit.read(now, SKILL_HALF, 0.0, 4.0))

    def grace(self, zone: str) -> float:
        """How long a start note may take from an executor with a free slot."""
        return 4.0 * self.tick + 3.0 * self.prompt.get(zone, 25.0)

    def learn_delay(self, worker: Endpoint, seen: float, now: float, started: bool = True) -> None:
        """A start note came (or is overdue) this long after the send."""
        prompt = self.prompt.get(worker.zone, seen)
        self.prompt[worker.zone] = min(seen, 1.02 * prompt)  # near the least: queues are not network
        # One that has not started would have waited longer still: no sign of a wait below what is expected.
        wait = max(0.0, seen - prompt, 0.0 if started else self.delay(worker, now, self.pace(now)))
        weight = 1.0 if started else 0.5
        self.promptness.add(now, float(seen <= self.grace(worker.zone)), SKILL_HALF, weight)
        if seen > self.grace(worker.zone):
            worker.room = max(1.0, 0.9 * worker.room)
        elif worker.slots > worker.room - 1.0:
            worker.room += 1.0 / worker.room
        worker.delay.add(now, wait, self.pace(now), weight)
        self.usual_delay[worker.zone, worker.kind].add(now, wait, SKILL_HALF, weight)
        if started:  # one that has not may hang, which is no sign of a burst
            self.delay_lately[worker.zone, worker.kind].add(now, wait, self.pace(now))

    def learn_run(self, worker: Endpoint, work: float, run: float, now: float, weight: float = 1.0) -> float:
        """A job ran (or by its progress will run) this long; returns how slow that is for its kind."""
        kind = self.kind(worker.kind, now)
        # A heavy job is not held against the worker that ran it: what one job can say is bounded.
        ratio = max(0.25 * kind, min(4.0 * kind, run / max(work, 1e-3)))
        # By work, lest what small jobs take beyond their work make every executor look slow.
        weight *= min(1.0, work / max(self.mean_work.read(now, SKILL_HALF, work), 1e-3))
        band = self.band(work, now)
        for mean in (worker.cells[band], worker.slow, self.kind_slow[worker.kind], self.fleet_slow):
            mean.add(now, ratio, SKILL_HALF, weight)
        self.mean_run.add(now, run, SKILL_HALF, weight)
        return ratio / kind

    def learn_clean(self, worker: Endpoint, clean: bool, now: float) -> None:
        """An attempt ended cleanly or not."""
        worker.clean.add(now, float(clean), SKILL_HALF)
        self.fleet_clean.add(now, float(clean), SKILL_HALF)

    def chance(self, job_class: str, expected: float, left: float, now: float) -> float:
        """How likely a job that is expected to take so long is done within `left`, from how others came out.

        What jobs of its class took against what was expected of them is taken to be lognormal.
        """
        at, mean, spread = self._spreads.get(job_class, (-math.inf, 0.0, OFF))
        if now >= at + REVIEW:
            mean = self.off[job_class].read(now, OFF_HALF, 0.0, OFF_TRUST)
            square = self.off_square[job_class].read(now, OFF_HALF, OFF * OFF, OFF_TRUST)
            spread = math.sqrt(max(0.01, square - mean * mean))
            self._spreads[job_class] = now, mean, spread
        deviations = (math.log(max(left, 1e-3) / max(expected, 1.0)) - mean) / spread
        # The logistic curve that is nearest to the normal distribution's.
        return 1.0 / (1.0 + math.exp(max(-30.0, min(30.0, -1.702 * deviations))))

    def learn_finish(self, job_class: str, expected: float, taken: float, now: float) -> None:
        """A job was done so long after it was sent, and so long was expected."""
        off = max(-2.0, min(2.0, math.log(max(taken, 1.0) / max(expected, 1.0))))
        self.off[job_class].add(now, off, OFF_HALF)
        self.off_square[job_class].add(now, off * off, OFF_HALF)

    def value(self, worker: Endpoint, now: float) -> float:
        """What a ms of a slot there earns of late: the geometric mean over the jobs that it was given.

        A few jobs of many times the usual worth move it little, as they would not a price that most pay.
        """
        fleet = self.fleet_value.read(now, SKILL_HALF, LOW)
        kind = self.kind_value[worker.kind].read(now, SKILL_HALF, fleet, 2.0)
        return math.exp(worker.value.read(now, SKILL_HALF, kind, 2.0))

    def learn_value(self, worker: Endpoint, rate: float, now: float) -> None:
        """A job was sent there that is expected to earn so much a ms."""
        for mean in (worker.value, self.kind_value[worker.kind], self.fleet_value):
            mean.add(now, math.log(max(rate, 1e-9)), SKILL_HALF)
