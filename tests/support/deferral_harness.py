"""An engine with a deferred-job queue and fake clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burlmoor.config.options import DeferredOptions
from burlmoor.deferred import DeferredJobQueue
from burlmoor.engine.deferral import RunConditions
from burlmoor.types.events import JobRequest
from burlmoor.types.outcome import Outcome
from tests.support.engine_harness import EngineHarness, RecordingResponder

if TYPE_CHECKING:
    from burlmoor.engine.job import Job

START_UNIX_MS = 1_700_000_000_000.0  # Unix time when the harness's clock is at 0


class DeferralHarness(EngineHarness):
    """An engine harness with a deferred-job queue. Unix time is the harness's time plus `unix_offset_ms`."""

    def __init__(self, max_connections: int = 100_000, **options: Any) -> None:
        super().__init__()
        self.unix_offset_ms = 0.0
        self.queue = DeferredJobQueue(
            DeferredOptions(**options), max_connections, 1000.0, 1, self.log, self.now, self.unix_now_ms
        )
        self.core.deferral_notifier.enable(self.queue)

    def unix_now_ms(self) -> float:
        return START_UNIX_MS + self.now + self.unix_offset_ms

    def submit_deferred(
        self,
        request_id: str,
        *after: str,
        not_before_unix_ms: float = 0.0,
        timeout_ms: float = 30_000.0,
        work_ms: float = 100.0,
        job_class: str = "lookup",
        size_bytes: int = 10,
    ) -> RecordingResponder:
        """Submit a job that runs after the jobs `after` and not before this time; return its responder."""
        client = RecordingResponder()
        request = JobRequest(0, job_class, timeout_ms, work_ms)
        conditions = RunConditions(after, not_before_unix_ms, size_bytes)
        job = self.engine.admit(client, request_id, request, None, conditions)
        assert job is not None
        return client

    def start_parent(self, request_id: str = "p", timeout_ms: float = 5000.0) -> Job:
        """Submit a non-idempotent job and start its attempt."""
        _, job = self.submit("once", request_id=request_id, timeout_ms=timeout_ms)
        self.advance(60.0)
        self.core.lifecycle.on_attempt_started(job.attempts[-1])
        return job

    def finish_attempt(self, request_id: str, outcome: Outcome = Outcome.SERVED) -> None:
        """End the open attempt of a job with this outcome."""
        attempt = next(attempt for attempt in self.open_attempts() if attempt.job.id == request_id)
        self.core.lifecycle.on_attempt_ended(attempt, outcome, b"done" if outcome is Outcome.SERVED else None)
        self.advance(50.0)
