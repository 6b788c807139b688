"""Mutations of the cancellation of attempts, and all those of the soak."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.testbed.mutations.endpoint_list import OLD_LIST, UNDRAINED
from burlmoor.testbed.mutations.mutation import Mutation, mutations_by_name, replace_attributes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burlmoor.engine.attempt_controller import AttemptController
    from burlmoor.engine.job import Attempt


def _deliver_after_close() -> None:
    from burlmoor.transport.stream import SocketStream  # noqa: PLC0415

    replace_attributes(SocketStream, set_reset_on_close=lambda _self, _is_on: True)


def _end_cancelled_attempts_at_once() -> None:
    from burlmoor.engine.attempt_controller import AttemptController  # noqa: PLC0415

    cancel_attempt = AttemptController.cancel_attempt

    def cancel_and_end(self: AttemptController, attempt: Attempt, *arguments: object) -> None:
        cancel_attempt(self, attempt, *arguments)  # type: ignore[arg-type]  # passed on as they come
        self._end_cancelled(attempt)

    replace_attributes(AttemptController, cancel_attempt=cancel_and_end)


SOAK_MUTATIONS: Mapping[str, Mutation] = mutations_by_name(
    Mutation("keep-sent", "The kernel still delivers attempts that are cancelled.", _deliver_after_close),
    OLD_LIST,
    UNDRAINED,
    Mutation(
        "unconfirmed-cancel",
        "A cancelled attempt ends before its endpoint has confirmed the cancellation.",
        _end_cancelled_attempts_at_once,
    ),
)
