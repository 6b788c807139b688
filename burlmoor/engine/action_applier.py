"""Carries out the actions that the policy decides on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.engine.answers import Failed, FinalAnswer, Rejected
from burlmoor.log_events import ActionFailed, PolicyWarning
from burlmoor.types.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailJob,
    FetchEndpoints,
    LogWarning,
    RejectJob,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.engine.attempt_controller import AttemptController
    from burlmoor.engine.interfaces import Discovery, Upstream
    from burlmoor.engine.job_lifecycle import JobLifecycle
    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.engine.policy_driver import PolicyDriver
    from burlmoor.log import EventLogger
    from burlmoor.types.reasons import EndReason


_JobAction = StartAttempt | RejectJob | FailJob | CancelAttempt


class ActionApplier:
    """Passes each action to the component that carries it out."""

    def __init__(
        self,
        jobs: JobRegistry,
        attempts: AttemptController,
        lifecycle: JobLifecycle,
        policy: PolicyDriver,
        upstream: Upstream,
        discovery: Discovery,
        log: EventLogger,
    ) -> None:
        self._jobs = jobs
        self._attempts = attempts
        self._lifecycle = lifecycle
        self._policy = policy
        self._upstream = upstream
        self._discovery = discovery
        self._log = log

    def apply_all(self, actions: Sequence[Action], now: float) -> None:
        """Carry out the actions in order; log an action that raises, and continue with the next."""
        for action in actions:
            try:
                self._apply(action, now)
            except Exception as error:  # noqa: BLE001
                # An error in one action must neither end the node nor prevent the other actions.
                self._log(ActionFailed(action=repr(action), error=repr(error)))

    def _apply(self, action: Action, now: float) -> None:
        match action:
            case StartAttempt() | RejectJob() | FailJob() | CancelAttempt():
                self._apply_to_job(action, now)
            case SetTimer():
                self._policy.set_timer(now + max(0.0, action.delay_ms), action.token)
            case WatchEndpoints():
                self._discovery.watch()
            case FetchEndpoints():
                self._discovery.fetch()
            case CheckHealth():
                self._upstream.check_health(action.endpoint)
            case LogWarning():
                self._log(PolicyWarning(text=action.text))

    def _apply_to_job(self, action: _JobAction, now: float) -> None:
        match action:
            case StartAttempt():
                self._attempts.start(action, now)
            case RejectJob():
                self._answer(action.id, Rejected(action.retry_after_ms), action.reason)
            case FailJob():
                self._answer(action.id, Failed(), action.reason)
            case CancelAttempt():
                self._attempts.cancel(action)

    def _answer(self, number: int, answer: FinalAnswer, reason: EndReason | None) -> None:
        job = self._jobs.find_by_number(number)
        if job is None or job.is_closed:
            return
        # A rejection invites a retry, so a job that must not run twice fails instead.
        if isinstance(answer, Rejected) and job.is_non_idempotent and job.may_have_run():
            answer = Failed()
        self._lifecycle.answer(job, answer, reason)
        self._jobs.remove_if_done(job)
