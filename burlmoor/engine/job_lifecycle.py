"""The states of a job and of its attempts, and every transition between them.

A job:

    admitted ──► deferred ──► with the policy ──► closed ──► removed
        └──────────────────────────▲                │
                                                    └─ answered, or its client has disconnected

- *Deferred*: waits for its run conditions (`DeferralController`); the policy does not know it yet.
- *With the policy*: queued or sent; the policy starts and cancels attempts (`AttemptController`).
- *Closed*: `answer` has sent the client the one final answer, or the client has disconnected and needs none
  (`on_client_disconnected`). Nothing but cancellations is sent for the job any more.
- *Removed*: closed, and all attempts have ended (`JobRegistry.remove_if_done`).

An attempt:

    open ──► cancelling ──► ended
      └────────────────────────▲

- *Open*: passed to upstream, which sends it. A result closes the job.
- *Cancelling*: the node has cancelled it, but its endpoint may still hold the job; before the 202, the node
  can't know. Until the endpoint confirms the cancellation, the attempt counts towards the limit of open
  attempts, so that without hedging an idempotent job is sent again only after the confirmation.
- *Ended*: its outcome is known. The first outcome counts; later ones are ignored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.engine.answers import Served
from burlmoor.types.events import (
    AttemptCancelling,
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    JobClosed,
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
    """Closes jobs and ends attempts, and reports both to the policy. `clock` returns ms."""

    def __init__(
        self,
        jobs: JobRegistry,
        policy: PolicyDriver,
        deferral_notifier: DeferralNotifier,
        job_log: JobLog,
        clock: Callable[[], float],
    ) -> None:
        self._jobs = jobs
        self._policy = policy
        self._deferral_notifier = deferral_notifier
        self._job_log = job_log
        self._clock = clock

    def answer(self, job: Job, answer: FinalAnswer, reason: EndReason | None = None) -> None:
        """Close an open job and send its client the final answer; `reason` is None only for a result."""
        responder = job.responder
        self._close(job, answer, reason)
        if responder is not None:
            responder.respond(answer)

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
            self._end_cancelled(attempt)  # a closed job is not sent again, so needs no confirmation
        self._deferral_notifier.on_job_ended(job, answer)

    def _report_closed(self, job: Job) -> None:
        """Notify the policy of a job that was closed without it, unless the job was still deferred."""
        if job.deferred_request is None:
            # Also posted if the engine has answered: in both cases, the policy owes the job no answer.
            self._policy.post(JobClosed(job.number))
        self._jobs.remove_if_done(job)

    def on_attempt_started(self, attempt: Attempt) -> None:
        """Record that the endpoint has begun to run the job, and notify the policy."""
        if not attempt.is_over:
            attempt.record_started(self._clock())
            self._policy.post(AttemptStarted(attempt.job.number, attempt.number, attempt.endpoint))

    def on_attempt_progressed(self, attempt: Attempt, fraction: float) -> None:
        """Notify the policy that the endpoint has completed this fraction of the job, from 0 to 1."""
        if not attempt.is_over:
            self._policy.post(
                AttemptProgressed(attempt.job.number, attempt.number, attempt.endpoint, fraction)
            )

    def begin_cancellation(self, attempt: Attempt, outcome: Outcome, reason: CancelReason) -> bool:
        """Begin to cancel an attempt, which ends with `outcome` once its endpoint has confirmed that.

        It ends at once if the job is closed or non-idempotent, since no retry then depends on a confirmation.

        Returns whether to send the cancellation to the endpoint; False if the attempt has already ended.

        Without the confirmation, an idempotent job could be sent again while the first endpoint runs it: the
        endpoint may accept the job just before the cancellation arrives, or be unreachable and never receive
        it.
        """
        if attempt.has_ended:
            return False
        is_first = not attempt.is_cancelling
        if is_first:
            attempt.pending_outcome = outcome
            self._job_log.on_attempt_cancelled(attempt, reason, self._clock())
        job = attempt.job
        if job.is_closed or job.is_non_idempotent:
            # A closed job is never sent again; a non-idempotent one only if `outcome` proves that it has not
            # started.
            self._end_cancelled(attempt)
        elif is_first:
            self._policy.post(AttemptCancelling(job.number, attempt.number, attempt.endpoint, outcome))
        return True

    def on_cancellation_confirmed(self, attempt: Attempt) -> None:
        """End an attempt whose endpoint has confirmed the cancellation or can no longer hold the job."""
        self.on_attempt_ended(attempt, attempt.pending_outcome or Outcome.CANCELLED)

    def on_attempt_timed_out(self, attempt: Attempt, reason: CancelReason) -> None:
        """End an attempt whose job is past its deadline, without waiting for a confirmation."""
        self._job_log.on_attempt_cancelled(attempt, reason, self._clock())
        self.on_attempt_ended(attempt, Outcome.TIMEOUT)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, result: bytes | None = None) -> None:
        """Record how an attempt ended, and notify the policy; the first result is the job's answer."""
        if attempt.has_ended:
            return
        now = self._clock()
        attempt.end(outcome, now)
        job = attempt.job
        if outcome is Outcome.SERVED and not job.is_closed:
            self.answer(job, Served(result or b""))
        self._policy.post(
            AttemptEnded(
                job.number,
                attempt.number,
                attempt.endpoint,
                outcome,
                now - attempt.selected_at,
                job.is_closed,
            )
        )
        self._jobs.remove_if_done(job)

    def _end_cancelled(self, attempt: Attempt) -> None:
        if attempt.pending_outcome is not None:
            self.on_attempt_ended(attempt, attempt.pending_outcome)
