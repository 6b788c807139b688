"""Builds the components of one node's policy and connects them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from burlmoor.policy.action_batch import ActionBatch
from burlmoor.policy.admission import Admission
from burlmoor.policy.attempt_events import AttemptEventHandler
from burlmoor.policy.attempts import AttemptSender
from burlmoor.policy.dispatch_rounds import DispatchRounds
from burlmoor.policy.endpoint_eligibility import EndpointEligibility
from burlmoor.policy.endpoint_selection import LOCAL_SAMPLE_SIZE, EndpointSelector
from burlmoor.policy.endpoints.affinity import AffinitySelector
from burlmoor.policy.endpoints.fleet_load import FleetLoad
from burlmoor.policy.endpoints.known_endpoints import KnownEndpoints
from burlmoor.policy.endpoints.outcomes import OutcomeRecorder
from burlmoor.policy.endpoints.outlier_detection import OutlierDetector
from burlmoor.policy.endpoints.poll_backoff import PollBackoff
from burlmoor.policy.endpoints.recently_freed import RecentlyFreed
from burlmoor.policy.endpoints.slow_start import SlowStart
from burlmoor.policy.job_checks import JobChecks
from burlmoor.policy.load_shedding import LoadShedder
from burlmoor.policy.open_jobs import OpenJobs
from burlmoor.policy.policy_warnings import WarningLimiter
from burlmoor.policy.redistribution_budget import RedistributionBudget
from burlmoor.policy.retries import RetryPolicy
from burlmoor.policy.safety import RetrySafety
from burlmoor.policy.statistics.node_statistics import NodeStatistics
from burlmoor.policy.timer_queue import TimerQueue

if TYPE_CHECKING:
    from burlmoor.types.settings import Settings


class PolicyComponents:
    """The components of one node's policy; the attributes are those that `Dispatcher` uses directly.

    All components share one random number generator, initialized with the seed.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        limits = settings.limits
        rng = random.Random(seed)
        self.actions = ActionBatch()
        self.timers = TimerQueue()
        self.statistics = NodeStatistics(settings)
        start_delays, runs = self.statistics.start_delays, self.statistics.runs
        # Endpoints.
        outliers = OutlierDetector()
        recently_freed = RecentlyFreed(LOCAL_SAMPLE_SIZE)
        self.slow_start = SlowStart(settings, self.statistics, rng)
        self.endpoints = KnownEndpoints(settings.zone, self.slow_start)
        self.load = FleetLoad(self.endpoints, self.slow_start, recently_freed, settings.node_count)
        self.polls = PollBackoff(settings.rules.poll_interval_ms, rng)
        # Jobs.
        self.safety = RetrySafety(limits, self.actions)
        self.jobs = OpenJobs(self.safety, rng, limits.max_retry_after_ms)
        self.admission = Admission(settings, self.statistics, rng)
        self.checks = JobChecks(settings, start_delays, self.timers)
        # Dispatch.
        warnings = WarningLimiter(self.actions)
        budget = RedistributionBudget()
        selector = EndpointSelector(
            settings,
            self.statistics,
            self.endpoints,
            self.slow_start,
            recently_freed,
            AffinitySelector(self.slow_start, outliers, rng),
            EndpointEligibility(self.endpoints, outliers, self.safety),
            rng,
        )
        sender = AttemptSender(
            self.statistics.endpoints,
            self.safety,
            self.load,
            self.checks,
            budget,
            endpoints_report_start=settings.reports_start,
        )
        shedder = LoadShedder(runs, self.load, self.jobs, warnings)
        self.rounds = DispatchRounds(settings.tick_ms, runs, self.load, shedder, selector, sender, rng)
        self.retries = RetryPolicy(
            settings, self.statistics, self.jobs, self.safety, self.rounds, self.checks, budget, warnings
        )
        outcomes = OutcomeRecorder(self.statistics, outliers, recently_freed)
        self.attempt_events = AttemptEventHandler(
            self.jobs, self.safety, self.load, self.rounds, self.checks, outcomes, self.retries
        )
