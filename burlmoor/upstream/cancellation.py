"""Cancels attempts at their endpoints by DELETE calls.

The call is repeated until the endpoint responds with a status below 500 or the attempt has ended.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from burlmoor.log_events import AttemptError
from burlmoor.upstream.errors import BrokenResponseError, ConnectError, RequestIncompleteError

if TYPE_CHECKING:
    from burlmoor.engine.job import Attempt
    from burlmoor.engine.job_lifecycle import JobLifecycle
    from burlmoor.log import EventLogger
    from burlmoor.upstream.pool import ConnectionPool

# The first call has a shorter timeout, since its pooled connection may have fallen silent.
_FIRST_TIMEOUT_SECONDS = 0.45
_TIMEOUT_SECONDS = 2.0  # for later calls, on new connections, and for calls that need no confirmation
_FIRST_PAUSE_SECONDS = 0.1  # between the first two calls; doubles from call to call
_MAX_PAUSE_SECONDS = 1.0


class AttemptCanceller:
    """Sends the DELETE calls, and reports a cancellation to the engine once the endpoint has answered.

    A refused connection is not an answer: an endpoint whose connections are all in use refuses further ones
    and continues its jobs. If `may_cancel` is false, no call is made.
    """

    def __init__(
        self,
        lifecycle: JobLifecycle,
        pool: ConnectionPool,
        nursery: trio.Nursery,
        log: EventLogger,
        *,
        may_cancel: bool,
    ) -> None:
        self._lifecycle = lifecycle
        self._may_cancel = may_cancel
        self._pool = pool
        self._nursery = nursery
        self._log = log
        self._attempts: set[Attempt] = set()  # whose cancellation is in progress
        self._paused_count = 0  # how many of `_attempts` wait between two calls

    @property
    def open_calls(self) -> int:
        """The number of calls that are about to be made or wait for their response."""
        return len(self._attempts) - self._paused_count

    def cancel(self, attempt: Attempt) -> None:
        """Start the cancellation of an attempt, unless one is in progress."""
        if self._may_cancel and attempt not in self._attempts:
            self._attempts.add(attempt)
            self._nursery.start_soon(self._cancel, attempt)

    async def _cancel(self, attempt: Attempt) -> None:
        try:
            await self._call_until_confirmed(attempt)
        except Exception as error:  # noqa: BLE001
            # Contains the error in this task; in the nursery it would stop the node.
            self._log(AttemptError(endpoint=attempt.endpoint, error=repr(error)))
        finally:
            self._attempts.discard(attempt)

    async def _call_until_confirmed(self, attempt: Attempt) -> None:
        needs_confirmation = not attempt.has_ended
        is_confirmed = await self._call(
            attempt, _FIRST_TIMEOUT_SECONDS if needs_confirmation else _TIMEOUT_SECONDS
        )
        pause = _FIRST_PAUSE_SECONDS
        # For an attempt that has ended, one unconfirmed call is enough: it only spares the executor work.
        while not (is_confirmed or attempt.has_ended):
            await self._pause(pause)
            pause = min(2.0 * pause, _MAX_PAUSE_SECONDS)
            if attempt.has_ended:
                return
            is_confirmed = await self._call(attempt, _TIMEOUT_SECONDS, must_connect=True)
        if is_confirmed:
            self._lifecycle.on_cancellation_confirmed(attempt)

    async def _call(self, attempt: Attempt, timeout_seconds: float, *, must_connect: bool = False) -> bool:
        """Send one DELETE; return whether the endpoint has answered it with a status below 500."""
        path = f"/jobs/{attempt.job.id}".encode()
        try:
            with trio.move_on_after(timeout_seconds):
                response = await self._pool.call(attempt.address, b"DELETE", path, must_connect=must_connect)
                return response.status < HTTPStatus.INTERNAL_SERVER_ERROR
        except (ConnectError, RequestIncompleteError, BrokenResponseError):
            return False  # the endpoint may or may not have received the DELETE
        return False

    async def _pause(self, seconds: float) -> None:
        self._paused_count += 1
        try:
            await trio.sleep(seconds)
        finally:
            self._paused_count -= 1
