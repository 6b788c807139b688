"""The states of a job and of its attempts, and every transition between them.

A job:

    admitted ──► deferred ──► with the policy ──► closed ──► forgotten
        └──────────────────────────▲                │
                                                    └─ answered, or its client has disconnected

- *Deferred*: only where the job has run conditions (`DeferralController`); the policy does not know it yet.
- *With the policy*: queued or sent; the policy starts and cancels attempts (`AttemptController`).
- *Closed*: `answer` has given the client the one final answer, or `on_client_disconnected` has found that it
  needs none. Nothing more is sent for the job.
- *Forgotten*: closed, and all attempts have ended (`JobRegistry.forget_if_done`).

An attempt:

    open ──► cancelling ──► ended
      └────────────────────────▲

- *Open*: selected, and sent by upstream. A result closes the job.
- *Cancelling*: the node has cancelled it, and its endpoint may still hold the job. Before the 202 that is not
  known, so an idempotent job is sent again only once the endpoint has confirmed the cancellation.
- *Ended*: its outcome is known. The first outcome counts; a later one changes nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.engine.answers import Served
from burlmoor.types.events import (
    AttemptCancelling,
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import EndReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.engine.deferral_notifier import DeferralNotifier
    from burlmoor.engine.job import Attempt, Job
    from burlmoor.engine.job_log import JobLog
    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.engine.policy_driver import PolicyDriver
    from burlmoor.types.reasons import CancelReason


class JobLifecycle:
    """Closes jobs and ends attempts, and reports both to the policy. `clock` gives ms."""

    def __init__(
        self,
        jobs: JobRegistry,
        policy: PolicyDriver,
        deferral: DeferralNotifier,
        job_log: JobLog,
        clock: Callable[[], float],
    ) -> None:
        self._jobs = jobs
        self._policy = policy
        self._deferral = deferral
        self._job_log = job_log
        self._clock = clock

    # --- the job ----------------------------------------------------------------------------------

    def answer(self, job: Job, answer: FinalAnswer, reason: EndReason | None = None) -> None:
        """Close an open job and send its client the final answer, with a reason unless it is a result."""
        self._close(job, answer, reason)
        job.responder.respond(answer)

    def answer_in_place_of_policy(self, job: Job, answer: FinalAnswer, reason: EndReason) -> None:
        """Answer a job that the policy has left open, and notify the policy that it is closed."""
        self.answer(job, answer, reason)
        self._report_closed(job)

    def on_client_disconnected(self, job: Job) -> None:
        """Close a job whose client has disconnected; it gets no answer."""
        if not job.is_closed:
            self._close(job, None, EndReason.DISCONNECTED)
            self._report_closed(job)

    def _close(self, job: Job, answer: FinalAnswer | None, reason: EndReason | None) -> None:
        job.close(answer, reason, self._clock())
        self._job_log.on_job_closed(job)
        for attempt in job.open_attempts():
            self._end_cancelled(attempt)  # the job is not sent again, so no confirmation is awaited
        self._deferral.on_job_closed(job, answer)

    def _report_closed(self, job: Job) -> None:
        """Notify the policy of a job that was closed without it, unless the job was still deferred."""
        if job.deferred_request is None:
            self._policy.post(ClientDisconnected(job.number))
        self._jobs.forget_if_done(job)

    # --- its attempts -----------------------------------------------------------------------------

    def on_attempt_started(self, attempt: Attempt) -> None:
        """Note that the endpoint has begun to run the job."""
        if not attempt.is_over:
            attempt.start(self._clock())
            self._policy.post(AttemptStarted(attempt.job.number, attempt.number, attempt.endpoint))

    def on_attempt_progressed(self, attempt: Attempt, fraction: float) -> None:
        """Note that the endpoint has done this fraction, from 0 to 1, of the job."""
        if not attempt.is_over:
            self._policy.post(
                AttemptProgressed(attempt.job.number, attempt.number, attempt.endpoint, fraction)
            )

    def begin_cancellation(self, attempt: Attempt, outcome: Outcome, reason: CancelReason) -> bool:
        """Make an open attempt a cancelling one; it ends with `outcome` once its endpoint has confirmed that.

        Returns whether the cancellation has to be sent to its endpoint: not if the attempt had already ended.

        Without the confirmation, the job could be sent again while the first endpoint runs it: the endpoint
        may accept the job just before the cancellation arrives, or be unreachable and never receive it.
        """
        if attempt.has_ended:
            return False
        is_first = not attempt.is_cancelling
        if is_first:
            attempt.cancelled_as = outcome
            self._job_log.on_attempt_cancelled(attempt, reason, self._clock())
        job = attempt.job
        if job.is_closed or job.is_non_idempotent:
            self._end_cancelled(attempt)  # the job is not sent again in any case
        elif is_first:
            self._policy.post(AttemptCancelling(job.number, attempt.number, attempt.endpoint, outcome))
        return True

    def on_attempt_cancelled(self, attempt: Attempt) -> None:
        """Note that the endpoint has confirmed the cancellation, or can't hold the job any more."""
        self.on_attempt_ended(attempt, attempt.cancelled_as or Outcome.CANCELLED)

    def on_attempt_timed_out(self, attempt: Attempt, reason: CancelReason) -> None:
        """End an attempt whose job is past its deadline, without awaiting a confirmation."""
        self._job_log.on_attempt_cancelled(attempt, reason, self._clock())
        self.on_attempt_ended(attempt, Outcome.TIMEOUT)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, result: bytes | None = None) -> None:
        """Note how an attempt ended; the first result that arrives is the job's answer."""
        if attempt.has_ended:
            return
        now = self._clock()
        attempt.end(outcome, now)
        job = attempt.job
        if outcome is Outcome.SERVED and not job.is_closed:
            self.answer(job, Served(result or b""))
        self._policy.post(
            AttemptEnded(
                job.number, attempt.number, attempt.endpoint, outcome, now - attempt.sent_at, job.is_closed
            )
        )
        self._jobs.forget_if_done(job)

    def _end_cancelled(self, attempt: Attempt) -> None:
        if attempt.cancelled_as is not None:
            self.on_attempt_ended(attempt, attempt.cancelled_as)
