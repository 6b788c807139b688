"""Graceful shutdown: the node finishes its admitted jobs before the process exits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.downstream.drain import ServiceState
from burlmoor.log_events import ShutdownFinished, ShutdownStarted

if TYPE_CHECKING:
    from burlmoor.lifecycle.components import NodeComponents
    from burlmoor.lifecycle.handover import Handover
    from burlmoor.lifecycle.stall_monitor import StallMonitor
    from burlmoor.log import EventLogger

# Counted from SIGTERM; a job that is admitted later may still be open at SIGKILL.
_LATE_ADMISSION_SECONDS = 0.7
_POLL_INTERVAL_SECONDS = 0.02
_LAST_REQUEST_SECONDS = 0.05  # from the end of listening to the exit


class GracefulShutdown:
    """Runs the graceful shutdown of one node. An instance is used once."""

    def __init__(
        self,
        components: NodeComponents,
        handover: Handover,
        stall_monitor: StallMonitor,
        log: EventLogger,
    ) -> None:
        self._attempts = components.attempts
        self._clock = components.clock
        self._core = components.core
        self._drain = components.drain
        self._engine = components.engine
        self._server = components.server
        self._connections = components.server.connections
        self._handover = handover
        self._stall_monitor = stall_monitor
        self._log = log

    async def run(self) -> None:
        """Shut down; return once all admitted jobs are answered and every answer has been sent."""
        # The platform counts the time until SIGKILL from the signal. Part of that time has already passed if
        # the process was stalled when the signal arrived.
        seconds_since_stall_began = self._stall_monitor.seconds_since_stall_began()
        self._log(
            ShutdownStarted(
                open_jobs=self._core.jobs.count_open(), stalled_seconds=round(seconds_since_stall_began, 2)
            )
        )
        self._drain.begin_shutdown(seconds_since_stall_began)
        answered_by = self._clock() + 1000.0 * (self._drain.answer_within_seconds - seconds_since_stall_began)
        if self._handover.has_handed_over:
            # New clients connect to the successor; jobs still open here at SIGKILL would be lost.
            self._engine.cap_deadlines(answered_by)
        else:
            late_from = self._clock() + 1000.0 * (_LATE_ADMISSION_SECONDS - seconds_since_stall_began)
            await trio.sleep(max(0.0, _LATE_ADMISSION_SECONDS - seconds_since_stall_began))
            # SIGKILL may come before the deadlines of jobs that were admitted late. Their deadlines are
            # brought forward, so that their clients get an answer.
            self._engine.cap_deadlines(answered_by, received_after=late_from)
            while self._drain.state < ServiceState.REJECTING:  # noqa: ASYNC110 - the state is computed from the time
                await trio.sleep(_POLL_INTERVAL_SECONDS)
        await self._finish_work()
        self._handover.close()
        self._log(
            ShutdownFinished(violations=self._core.invariants.counts(), counts=self._core.counters.totals())
        )

    async def _finish_work(self) -> None:
        # The node listens until the last job is answered, since call-backs for open jobs still arrive, and
        # waits until slow clients have read their answers completely.
        await self._wait_for_work()
        self._server.stop_listening()
        # Clients whose connections were accepted last may be about to write.
        await trio.sleep(_LAST_REQUEST_SECONDS)
        await self._wait_for_work()
        while not self._connections.close_all_unless_readable() and self._drain.has_time_before_sigkill:
            await trio.sleep(_POLL_INTERVAL_SECONDS)
            await self._wait_for_work()
        self._server.close()

    async def _wait_for_work(self) -> None:
        while self._has_unfinished_work or await self._has_unread_work():
            if not self._handover.has_handed_over:
                # Closes them without waiting for the server's next sweep. By now, new connections of clients
                # are directed to other nodes.
                self._connections.close_idle()
            await trio.sleep(_POLL_INTERVAL_SECONDS)

    async def _has_unread_work(self) -> bool:
        """Handle what clients have written but no task has read yet; return whether that leaves work."""
        await self._connections.read_pending_input()
        return self._has_unfinished_work

    @property
    def _has_unfinished_work(self) -> bool:
        """Whether a job, an answer, a cancellation or a handover message is still pending."""
        return bool(
            self._core.jobs.count_open()
            or self._connections.has_unsent_output
            or self._handover.has_unsent_messages
            or (self._drain.has_time_before_sigkill and self._has_optional_work)
        )

    @property
    def _has_optional_work(self) -> bool:
        """Whether a cancellation, which spares an endpoint work, or an incomplete request is pending."""
        return bool(self._attempts.open_cancel_calls or self._connections.has_partial_requests)
