"""Mutations of attempts and of clients' connections, and the set of mutations for the soak drill."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.testbed.mutations.endpoint_list import OLD_LIST, UNDRAINED
from burlmoor.testbed.mutations.mutation import Mutation, mutations_by_name, replace_attributes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burlmoor.downstream.connection import DownstreamConnection
    from burlmoor.engine.job import Attempt
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.types.reasons import CloseReason
    from burlmoor.upstream.attempts import AttemptRunner


def _deliver_cancelled_attempts() -> None:
    from burlmoor.transport.stream import SocketStream  # noqa: PLC0415

    replace_attributes(SocketStream, set_reset_on_close=lambda _self, **_is_on: True)


def _end_cancelled_attempts_at_once() -> None:
    from burlmoor.upstream.attempts import AttemptRunner  # noqa: PLC0415

    cancel_attempt = AttemptRunner.cancel_attempt

    def cancel_and_end(self: AttemptRunner, attempt: Attempt) -> None:
        cancel_attempt(self, attempt)
        self._lifecycle._end_cancelled(attempt)  # noqa: SLF001 - a transition that the mutation makes early

    replace_attributes(AttemptRunner, cancel_attempt=cancel_and_end)


def _close_over_unread_input() -> None:
    from burlmoor.downstream.connection import DownstreamConnection  # noqa: PLC0415

    def close(self: DownstreamConnection, reason: CloseReason) -> bool:
        self.close(reason)
        return True

    replace_attributes(
        DownstreamConnection, read_pending_input=lambda _self, **_options: None, close_unless_readable=close
    )


def _repeat_after_window() -> None:
    from burlmoor.engine.job import Job  # noqa: PLC0415
    from burlmoor.policy.safety import RetrySafety  # noqa: PLC0415

    may_send = RetrySafety.may_send

    def may_send_later(self: RetrySafety, job: ScheduledJob, endpoint: Endpoint, now: float) -> bool:
        first = next(iter(job.possibly_run_attempts()), None)
        return may_send(self, job, endpoint, now if first is None else min(now, first.sent_at))

    replace_attributes(RetrySafety, may_send=may_send_later)
    replace_attributes(Job, latest_send_at=lambda _self, _attempt: math.inf)


SOAK_MUTATIONS: Mapping[str, Mutation] = mutations_by_name(
    Mutation(
        "keep-sent",
        "The kernel still delivers the requests of cancelled attempts.",
        _deliver_cancelled_attempts,
    ),
    OLD_LIST,
    UNDRAINED,
    Mutation(
        "unconfirmed-cancel",
        "A cancelled attempt ends before its endpoint has confirmed the cancellation.",
        _end_cancelled_attempts_at_once,
    ),
    Mutation(
        "close-unread",
        "Clients' connections are closed although a request may have arrived on them.",
        _close_over_unread_input,
    ),
    Mutation(
        "late-repeat",
        "Jobs with idempotency keys are sent again after their window for repeats.",
        _repeat_after_window,
    ),
)
