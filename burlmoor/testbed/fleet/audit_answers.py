"""The rules on answers: one for each request in time, and a result only of its own job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import UNSET

from burlmoor.testbed.fleet.audit_result import Audit, NodeFaults

if TYPE_CHECKING:
    from burlmoor.testbed.event_record import RequestRecord
    from burlmoor.testbed.fleet.record import RunRecord

UNREAD_MS = 250.0  # that a request may lie unread at a node, on a loaded machine
LATE_ANSWER_ALLOWANCE_MS = 500.0  # beyond a client's timeout, on a loaded machine
RESUME_ALLOWANCE_MS = 1000.0  # that a stopped node may take to read its input once it continues
# After SIGTERM: of what comes later, SIGKILL must find nothing unanswered.
_OWED_AFTER_TERM_MS = 700.0


class AnswerAudit:
    """Checks the answers of one run."""

    def __init__(self, record: RunRecord, result: Audit) -> None:
        self._record = record
        self._result = result
        self._terminated = NodeFaults(record, "term")
        self._restarted = NodeFaults(record, "restart")
        self._killed_in_restart = NodeFaults(record, "sigkill")
        self._killed = NodeFaults(record, "kill")
        self._stopped = NodeFaults(record, "stop")
        self._crowded = NodeFaults(record, "crowd")
        self._done_ids = {attempt.id for attempt in record.attempts if attempt.outcome == "done"}
        self._received_ids = {attempt.id for attempt in record.attempts}

    def check(self) -> None:
        """Check that each client got an answer in time, and a result only of its own job."""
        for request in self._record.requests:
            if request.is_unsent:
                self._result.excuse("no node took a connection", request.id)
            elif request.answered_ms is None:
                self._check_missing(request)
            else:
                self._check_time(request, request.answered_ms)
            if request.is_served and not self._has_own_result(request):
                self._result.violations.append(f"{request.id}: served with a result that no executor made")

    def _has_own_result(self, request: RequestRecord) -> bool:
        return request.id in self._done_ids and _result_owner(request) == request.id

    def _check_time(self, request: RequestRecord, answered_ms: float) -> None:
        deadline_ms = request.sent_ms + request.timeout_ms
        if answered_ms <= deadline_ms + LATE_ANSWER_ALLOWANCE_MS:
            return
        if self._stopped.overlap(request.node, request.sent_ms, deadline_ms, RESUME_ALLOWANCE_MS):
            self._result.excuse("answered late by a stopped node", request.id)
        else:
            self._result.violations.append(f"{request.id}: answered {answered_ms - deadline_ms:.0f} ms late")

    def _check_missing(self, request: RequestRecord) -> None:
        """Check that a request without an answer was lost by a fault of its node."""
        excuse = self._excuse_of_missing(request)
        if excuse is not None:
            self._result.excuse(excuse, request.id)
        else:
            self._result.violations.append(f"{request.id}: no answer from n{request.node:03d}")

    def _excuse_of_missing(self, request: RequestRecord) -> str | None:
        node, sent_ms = request.node, request.sent_ms
        deadline_ms = sent_ms + request.timeout_ms
        if self._killed.overlap(node, sent_ms, deadline_ms):
            return "its node was killed"
        if self._stopped.overlap(node, sent_ms, deadline_ms):
            return "its node was stopped"
        if request.id in self._received_ids:
            return self._excuse_of_kill_in_restart(request)
        is_stopping = any(
            faults.overlap(node, sent_ms, sent_ms) for faults in (self._terminated, self._restarted)
        )
        if is_stopping and _may_be_unread(request):
            # Written to an idle connection at the moment at which a terminating node closed it.
            return "never taken by a node that stopped"
        # Closed to make room: a new connection, or an idle one as the request was written to it.
        may_make_room = request.was_reused is False or _may_be_unread(request)
        if may_make_room and self._crowded.overlap(node, sent_ms, deadline_ms):
            return "its connection was closed unread in a crowd"
        return self._excuse_of_kill_in_restart(request)

    def _excuse_of_kill_in_restart(self, request: RequestRecord) -> str | None:
        """Excuse a job that SIGKILL found open, and that had come before the shutdown or soon after."""
        node, sent_ms = request.node, request.sent_ms
        kill = self._killed_in_restart.first_within(node, sent_ms, sent_ms + request.timeout_ms)
        if kill is None:
            return None
        restart = self._restarted.first_within(node, kill.start, kill.start)
        is_owed = restart is None or sent_ms > restart.start + _OWED_AFTER_TERM_MS
        return None if is_owed else "its node was killed at the end of a restart"


def _may_be_unread(request: RequestRecord) -> bool:
    """Whether the connection ended so soon that the node may have closed it before it read the request."""
    return request.closed_ms is UNSET or request.closed_ms < request.sent_ms + UNREAD_MS


def _result_owner(request: RequestRecord) -> str:
    """Return the id of the job whose result the answer carries."""
    return request.body.partition(b"@")[0].decode(errors="replace")
