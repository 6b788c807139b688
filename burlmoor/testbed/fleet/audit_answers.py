"""Checks answers: each request is answered in time, and results belong to the requested job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import UNSET

from burlmoor.testbed.event_record import AttemptOutcome
from burlmoor.testbed.fleet.addresses import node_name
from burlmoor.testbed.fleet.audit_result import AuditResult, Excuse, NodeFaultHistory
from burlmoor.testbed.fleet.fault_kinds import FaultKind

if TYPE_CHECKING:
    from burlmoor.testbed.event_record import RequestRecord
    from burlmoor.testbed.fleet.record import RunRecord

# How long after a request was sent its connection may end since the two crossed each other. The protocol's
# time limits are longer by as much on real sockets.
CROSSING_ALLOWANCE_MS = 50.0
LATE_ANSWER_ALLOWANCE_MS = 500.0  # how late after the timeout an answer may arrive on a loaded machine
RESUME_ALLOWANCE_MS = 1000.0  # how long a resumed node may take to read its pending input
# A request that is sent later than this after SIGTERM must be answered before SIGKILL.
_MAY_BE_LOST_AFTER_TERM_MS = 700.0
# The platform directs no new connection to a node later than this after SIGTERM.
_LAST_CONNECTION_AFTER_TERM_MS = 400.0


class AnswerAudit:
    """Checks the answers of one run."""

    def __init__(self, record: RunRecord, result: AuditResult) -> None:
        self._record = record
        self._result = result
        self._terminated = NodeFaultHistory(record, FaultKind.NODE_TERMINATION)
        self._restarted = NodeFaultHistory(record, FaultKind.NODE_RESTART)
        self._killed_in_restart = NodeFaultHistory(record, FaultKind.RESTART_KILL)
        self._killed = NodeFaultHistory(record, FaultKind.NODE_KILL)
        self._paused = NodeFaultHistory(record, FaultKind.NODE_PAUSE)
        self._flooded = NodeFaultHistory(record, FaultKind.CONNECTION_FLOOD)
        self._persistent_clients = NodeFaultHistory(record, FaultKind.PERSISTENT_CLIENTS)
        self._done_ids = {attempt.id for attempt in record.attempts if attempt.outcome is AttemptOutcome.DONE}
        self._received_ids = {attempt.id for attempt in record.attempts}

    def check(self) -> None:
        """Check that each client got an answer in time, and only results of the job that it requested."""
        for request in self._record.requests:
            if request.is_unsent:
                self._result.excuse(Excuse.NO_CONNECTION, request.id)
            elif request.answered_ms is None:
                self._check_missing(request)
            else:
                self._check_time(request, request.answered_ms)
            if request.is_served and not self._has_matching_result(request):
                self._result.violations.append(f"{request.id}: served with a result that no executor made")

    def _has_matching_result(self, request: RequestRecord) -> bool:
        return request.id in self._done_ids and _result_owner(request) == request.id

    def _check_time(self, request: RequestRecord, answered_ms: float) -> None:
        deadline_ms = request.sent_ms + request.timeout_ms
        if answered_ms <= deadline_ms + LATE_ANSWER_ALLOWANCE_MS:
            return
        if self._paused.overlaps(request.node, request.sent_ms, deadline_ms, RESUME_ALLOWANCE_MS):
            self._result.excuse(Excuse.ANSWERED_LATE, request.id)
        else:
            self._result.violations.append(f"{request.id}: answered {answered_ms - deadline_ms:.0f} ms late")

    def _check_missing(self, request: RequestRecord) -> None:
        """Check that a request without an answer was lost because of a fault of its node."""
        excuse = self._excuse_of_missing(request)
        if excuse is not None:
            self._result.excuse(excuse, request.id)
        else:
            self._result.violations.append(f"{request.id}: no answer from {node_name(request.node)}")

    def _excuse_of_missing(self, request: RequestRecord) -> Excuse | None:
        node, sent_ms = request.node, request.sent_ms
        deadline_ms = sent_ms + request.timeout_ms
        if self._killed.overlaps(node, sent_ms, deadline_ms):
            return Excuse.NODE_KILLED
        if self._was_paused(request):
            return Excuse.NODE_PAUSED
        if request.id not in self._received_ids and (excuse := self._excuse_of_unread(request)):
            return excuse
        return self._excuse_of_kill_in_restart(request)

    def _excuse_of_unread(self, request: RequestRecord) -> Excuse | None:
        """Return the excuse for a request that its node may not have read."""
        node, sent_ms = request.node, request.sent_ms
        if request.was_reused is False and self._connected_late(request):
            return Excuse.CONNECTED_LATE
        if not _may_have_crossed(request):
            return None
        if any(faults.overlaps(node, sent_ms, sent_ms) for faults in (self._terminated, self._restarted)):
            # The request was written to an idle connection just as the terminating node closed it.
            return Excuse.NODE_SHUTTING_DOWN
        deadline_ms = sent_ms + request.timeout_ms
        if any(
            faults.overlaps(node, sent_ms, deadline_ms)
            for faults in (self._flooded, self._persistent_clients)
        ):
            # A node makes room by closing a connection just as a request is written to it.
            return Excuse.CONNECTION_FLOOD
        return None

    def _connected_late(self, request: RequestRecord) -> bool:
        """Whether the request used a new connection after the platform directs any to its node."""
        for faults in (self._terminated, self._restarted):
            shutdown = faults.first_overlapping(request.node, request.sent_ms, request.sent_ms)
            if shutdown and request.sent_ms > shutdown.start_ms + _LAST_CONNECTION_AFTER_TERM_MS:
                return True
        return False

    def _was_paused(self, request: RequestRecord) -> bool:
        """Whether the node was paused until the client timed out, or was killed while it was paused.

        A node that resumes has to answer what arrived meanwhile.
        """
        if request.closed_ms is not UNSET:
            return self._paused.overlaps(request.node, request.closed_ms, request.closed_ms)
        return self._paused.overlaps(request.node, request.sent_ms, request.sent_ms + request.timeout_ms)

    def _excuse_of_kill_in_restart(self, request: RequestRecord) -> Excuse | None:
        """Return the excuse for a job that was open at SIGKILL and was sent before or soon after SIGTERM."""
        node, sent_ms = request.node, request.sent_ms
        answerable_until_ms = sent_ms + request.timeout_ms + LATE_ANSWER_ALLOWANCE_MS
        kill = self._killed_in_restart.first_overlapping(node, sent_ms, answerable_until_ms)
        if kill is None:
            return None
        restart = self._restarted.first_overlapping(node, kill.start_ms, kill.start_ms)
        must_be_answered = restart is None or sent_ms > restart.start_ms + _MAY_BE_LOST_AFTER_TERM_MS
        return None if must_be_answered else Excuse.NODE_KILLED_IN_RESTART


def _may_have_crossed(request: RequestRecord) -> bool:
    """Whether the connection ended so soon that the node may have closed it before the request arrived."""
    return request.closed_ms is not UNSET and request.closed_ms < request.sent_ms + CROSSING_ALLOWANCE_MS


def _result_owner(request: RequestRecord) -> str:
    """Return the id of the job whose result the answer carries."""
    return request.body.partition(b"@")[0].decode(errors="replace")
