"""Runs the jobs of a stand-in executor: drives the executor model in real time and sends call-backs."""

from __future__ import annotations

from typing import NamedTuple

import trio
from msgspec import UNSET

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import AttemptOutcome, AttemptRecord
from burlmoor.testbed.executor_callbacks import CallbackSender
from burlmoor.testbed.executor_model import ExecutorModel, ExecutorSpec, JobProgress
from burlmoor.testbed.messages import JobEvent, JobState

_MIN_STEP_SECONDS = 0.0005  # minimum time between two steps of the model


class _AssignedJob(NamedTuple):
    """A job that is running or queued, and the node that sent it."""

    attempt: AttemptRecord
    node: str


class JobRunner:
    """Runs the jobs of one executor, records how their attempts end, and reports it to the nodes."""

    def __init__(self, executor: str, spec: ExecutorSpec, nursery: trio.Nursery) -> None:
        self.model = ExecutorModel(spec, now_ms())
        self._executor = executor
        self._spec = spec
        self._assigned_jobs: dict[str, _AssignedJob] = {}
        self._model_changed = trio.Event()
        self._resumed = trio.Event()
        self._resumed.set()
        self._callbacks = CallbackSender(nursery, self.wait_until_resumed)
        nursery.start_soon(self._run_model)

    def set_callback_address(self, node: str, address: tuple[str, int]) -> None:
        """Set the address at which a node takes call-backs."""
        self._callbacks.set_address(node, address)

    def admit(self, attempt: AttemptRecord, node: str, *, reports_failure: bool) -> bool:
        """Queue a job; return false if it is rejected.

        With `reports_failure`, it is reported as failed once it has run.
        """
        if not self.model.admit(now_ms(), attempt.id, attempt.work_ms, attempt.slots):
            return False
        self._assigned_jobs[attempt.id] = _AssignedJob(attempt, node)
        self._model_changed.set()
        if reports_failure:
            attempt.outcome = AttemptOutcome.FAILING
        return True

    def cancel(self, job_id: str) -> None:
        """Record that a node cancels a job; a queued job is dropped, a running one continues to its end."""
        assigned = self._assigned_jobs.get(job_id)
        if assigned is None:
            return
        record_cancellation(assigned.attempt)
        if self.model.drop_queued(now_ms(), job_id):
            del self._assigned_jobs[job_id]
            assigned.attempt.outcome = AttemptOutcome.CANCELLED
            assigned.attempt.ended_ms = now_ms()

    def return_queued(self) -> None:
        """Return the queued jobs to their nodes, as a draining executor may."""
        for job_id in self.model.take_queued(now_ms()):
            self._end_job(job_id, AttemptOutcome.RETURNED, JobState.RETURNED)

    def lose_all(self) -> None:
        """Discard all jobs, and send no call-backs, as a killed process does."""
        for assigned in self._assigned_jobs.values():
            if assigned.attempt.outcome is AttemptOutcome.PENDING:
                assigned.attempt.outcome = AttemptOutcome.LOST
            assigned.attempt.ended_ms = now_ms()
        self._assigned_jobs.clear()
        self.reset_model()

    def reset_model(self) -> None:
        """Replace the model by one without jobs, in slow start."""
        self.model = ExecutorModel(self._spec, now_ms(), in_slow_start=True)

    def set_stalled(self, *, is_stalled: bool) -> None:
        """Stop all work and all call-backs, or resume."""
        self.model.set_stalled(now_ms(), is_stalled=is_stalled)
        if is_stalled:
            self._resumed = trio.Event()
        else:
            self._resumed.set()
        self._model_changed.set()

    async def wait_until_resumed(self) -> None:
        """Wait while the executor is stalled."""
        await self._resumed.wait()

    def set_slowdown(self, factor: float) -> None:
        """Run `factor` times slower than the spec's speed."""
        self.model.set_slowdown(now_ms(), factor)
        self._model_changed.set()

    async def _run_model(self) -> None:
        while True:
            self._model_changed = trio.Event()
            for progress in self.model.step(now_ms()):
                self._on_progress(progress)
            wait_seconds = (self.model.next_due_ms() - now_ms()) / 1000.0
            with trio.move_on_after(max(_MIN_STEP_SECONDS, wait_seconds)):
                await self._model_changed.wait()

    def _on_progress(self, progress: JobProgress) -> None:
        assigned = self._assigned_jobs.get(progress.job_id)
        if assigned is None:
            return
        if progress.state is JobState.DONE:
            if assigned.attempt.outcome is AttemptOutcome.FAILING:
                self._end_job(progress.job_id, AttemptOutcome.FAILED, JobState.FAILED)
            else:
                self._end_job(progress.job_id, AttemptOutcome.DONE, JobState.DONE)
            return
        if progress.state is JobState.STARTED:
            assigned.attempt.started_ms = now_ms()
        event = JobEvent(
            progress.job_id, self._executor, progress.state, done_fraction=progress.done_fraction
        )
        self._callbacks.send(assigned.node, event)

    def _end_job(self, job_id: str, outcome: AttemptOutcome, state: JobState) -> None:
        assigned = self._assigned_jobs.pop(job_id)
        assigned.attempt.outcome = outcome
        assigned.attempt.ended_ms = now_ms()
        event = JobEvent(job_id, self._executor, state)
        if state is JobState.DONE:
            event.result = f"{job_id}@{self._executor}"
        self._callbacks.send(assigned.node, event)


def record_cancellation(attempt: AttemptRecord) -> None:
    """Record when the executor first observed the cancellation of an attempt."""
    if attempt.cancelled_ms is UNSET:
        attempt.cancelled_ms = now_ms()
