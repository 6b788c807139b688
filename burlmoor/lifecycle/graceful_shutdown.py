"""Graceful shutdown: a node finishes what it has admitted before it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.downstream.drain import DrainController, ServiceState
from burlmoor.log_events import ShutdownFinished, ShutdownStarted

if TYPE_CHECKING:
    from burlmoor.clock import Clock
    from burlmoor.lifecycle.handover import Handover
    from burlmoor.lifecycle.hold_ups import HoldUpMonitor
    from burlmoor.lifecycle.parts import NodeParts
    from burlmoor.log import EventLogger
    from burlmoor.upstream.attempts import AttemptRunner

# After SIGTERM: a job that is admitted later than this may be open when SIGKILL comes.
_ARRIVAL_SECONDS = 0.7
_POLL_SECONDS = 0.02


class GracefulShutdown:
    """Runs the graceful shutdown of one node, once."""

    def __init__(
        self,
        parts: NodeParts,
        attempts: AttemptRunner,
        drain: DrainController,
        handover: Handover,
        clock: Clock,
        hold_ups: HoldUpMonitor,
        log: EventLogger,
    ) -> None:
        self._parts = parts
        self._attempts = attempts
        self._drain = drain
        self._handover = handover
        self._clock = clock
        self._hold_ups = hold_ups
        self._log = log

    async def run(self) -> None:
        """Return once all that was admitted is answered and every answer has been sent."""
        core, engine = self._parts.core, self._parts.engine
        # Without this, a process that was stopped when the signal came would be killed with jobs open: the
        # platform counts from the signal.
        seconds_ago = self._hold_ups.seconds_held_up()
        self._log(ShutdownStarted(open_jobs=core.jobs.count_open(), stalled_seconds=round(seconds_ago, 2)))
        self._drain.begin_shutdown(seconds_ago)
        answered_by = self._clock() + 1000.0 * (self._drain.answer_within_seconds - seconds_ago)
        if self._handover.has_handed_over:
            # Clients come to the successor; SIGKILL would lose what is still open here by then.
            engine.answer_all_by(answered_by)
        else:
            late_from = self._clock() + 1000.0 * (_ARRIVAL_SECONDS - seconds_ago)
            await trio.sleep(max(0.0, _ARRIVAL_SECONDS - seconds_ago))
            # Without this, SIGKILL would lose what came late and is not answered by then (rule 1).
            engine.answer_all_by(answered_by, received_after=late_from)
            while self._drain.state < ServiceState.REJECTING:  # noqa: ASYNC110 - the state follows from the time
                await trio.sleep(_POLL_SECONDS)
        await self._finish_work()
        self._handover.close()
        self._log(ShutdownFinished(violations=core.invariants.counts(), counts=core.counters.totals()))

    async def _finish_work(self) -> None:
        # Call-backs for what is open still come in, so the node listens until the last job is answered.
        # An answer counts by its last byte: what a slow client has not read yet is not cut off.
        while self._has_unfinished_work:
            if not self._handover.has_handed_over:
                # Idle connections are closed only now that new clients are sent elsewhere.
                self._parts.server.connections.close_idle()
            await trio.sleep(_POLL_SECONDS)

    @property
    def _has_unfinished_work(self) -> bool:
        """Whether this process still owes an answer, a cancellation or a message."""
        connections = self._parts.server.connections
        return bool(
            self._parts.core.jobs.count_open()
            or self._attempts.open_cancel_calls
            or connections.has_unsent
            or connections.has_partial_requests
            or self._handover.has_unsent
        )
