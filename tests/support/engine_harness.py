"""An engine with a fake clock that records its calls to upstream and discovery."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burlmoor.engine.core import EngineCore
from burlmoor.engine.engine import Engine
from burlmoor.types.endpoint_list import ListKind
from burlmoor.types.events import JobRequest
from burlmoor.types.outcome import Outcome
from tests.support.dispatcher_driver import entries, settings

if TYPE_CHECKING:
    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.engine.job import Attempt, Job
    from burlmoor.log_events import LogEvent
    from burlmoor.types.reasons import CancelReason


class RecordingResponder:
    """A responder that records its answers."""

    def __init__(self) -> None:
        self.answers: list[FinalAnswer] = []

    def detect_disconnect(self) -> bool:
        return False

    def respond(self, answer: FinalAnswer) -> None:
        self.answers.append(answer)

    def answer_types(self) -> list[type[FinalAnswer]]:
        return [type(answer) for answer in self.answers]


class EngineHarness:
    """An engine with four endpoints and a fake clock; stands in for upstream and discovery."""

    def __init__(self, **settings_changes: Any) -> None:
        self.now = 1000.0
        self.logged_lines: list[dict[str, Any]] = []
        self.started_attempts: list[Attempt] = []
        self.cancelled_attempts: list[Attempt] = []
        self.wake_count = 0
        self.core = EngineCore(settings(**settings_changes), 1, lambda: self.now, self.log, self.wake)
        self.engine = Engine(self.core, upstream=self, discovery=self)
        self.core.policy.on_endpoint_list(ListKind.CACHED, entries(4))
        self.engine.step()

    def log(self, event: LogEvent) -> None:
        self.logged_lines.append(event.to_line())

    @property
    def logged_events(self) -> list[str]:
        return [line["event"] for line in self.logged_lines]

    def wake(self) -> None:
        self.wake_count += 1

    def start_attempt(self, attempt: Attempt) -> None:
        self.started_attempts.append(attempt)

    def cancel_attempt(self, attempt: Attempt) -> None:
        self.cancelled_attempts.append(attempt)

    def cancel(self, attempt: Attempt, outcome: Outcome, reason: CancelReason) -> None:
        """Cancel an attempt as upstream does when it can't continue it."""
        if self.core.lifecycle.begin_cancellation(attempt, outcome, reason):
            self.cancel_attempt(attempt)

    def check_health(self, endpoint: str) -> None:
        self.core.policy.on_health_checked(endpoint, Outcome.SERVED, 1.0)

    def watch(self) -> None: ...

    def fetch(self) -> None: ...

    def advance(self, duration_ms: float) -> None:
        """Let time pass; run a step of the engine whenever one is due."""
        end = self.now + duration_ms
        while self.engine.next_due() <= end:
            self.now = max(self.now, self.engine.next_due())
            self.engine.step()
        self.now = end

    def submit(
        self,
        job_class: str = "lookup",
        timeout_ms: float = 5000.0,
        request_id: str = "a1",
        work_ms: float = 100.0,
    ) -> tuple[RecordingResponder, Job]:
        client = RecordingResponder()
        job = self.engine.admit(client, request_id, JobRequest(0, job_class, timeout_ms, work_ms), None)
        assert job is not None
        return client, job

    def submit_and_start(
        self, job_class: str = "lookup", timeout_ms: float = 5000.0, work_ms: float = 100.0
    ) -> tuple[RecordingResponder, Attempt]:
        """Submit a job and wait until its first attempt has started."""
        client, job = self.submit(job_class, timeout_ms, work_ms=work_ms)
        self.advance(60.0)
        return client, job.attempts[-1]

    def find_job(self, request_id: str) -> Job:
        job = self.core.jobs.find_by_id(request_id)
        assert job is not None
        return job

    def started_ids(self) -> list[str]:
        """Return the request ids of the attempts that were started, in order."""
        return [attempt.job.id for attempt in self.started_attempts]

    def open_attempts(self) -> list[Attempt]:
        """Return the attempts that were started and have not ended."""
        return [attempt for attempt in self.started_attempts if not attempt.has_ended]
