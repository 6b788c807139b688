"""Tests that the audit reports each violation, and excuses only what the fault schedule caused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from burlmoor.testbed.event_record import AttemptOutcome
from burlmoor.testbed.fleet.audit import audit
from burlmoor.testbed.fleet.audit_result import Excuse
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.record import FaultInterval, RunRecord
from burlmoor.testbed.job_classes import KEYED_CLASS_NAME
from burlmoor.testbed.messages import EndpointHealth
from burlmoor.testbed.notification_log import Notification
from tests.testbed.fleet.recorded_runs import CONFIRM, SEARCH, make_even_run

if TYPE_CHECKING:
    from collections.abc import Callable


def test_run_without_faults_has_no_violations() -> None:
    assert audit(make_even_run()).violations == []


def leave_unanswered(record: RunRecord) -> None:
    record.requests[5].answered_ms = None


def answer_late(record: RunRecord) -> None:
    record.requests[5].answered_ms = record.requests[5].sent_ms + SEARCH.timeout_ms + 900.0


def answer_with_another_result(record: RunRecord) -> None:
    record.requests[5].body = b"j6@s-0"


def start_non_idempotent_job_twice(record: RunRecord) -> None:
    for attempt in (record.attempts[5], record.attempts[6]):
        attempt.job_class = CONFIRM.name
        attempt.id = "j5"


def reject_after_run(record: RunRecord) -> None:
    record.requests[5].job_class = record.attempts[5].job_class = CONFIRM.name
    record.requests[5].status = 503


def open_two_attempts(record: RunRecord) -> None:
    record.plan = msgspec.structs.replace(record.plan, hedging=False)
    first, second = record.attempts[5], record.attempts[6]
    second.id = first.id
    first.ended_ms = None
    first.cancelled_ms = second.received_ms + 1.0


def lose_in_restart(record: RunRecord, sent_after_term_ms: float) -> None:
    """Lose a job at a node that gets SIGKILL at the end of a restart."""
    leave_unanswered(record)
    term_ms = record.requests[5].sent_ms - sent_after_term_ms
    kill_ms = record.requests[5].sent_ms + 100.0
    record.fault_intervals = [
        FaultInterval(FaultKind.NODE_RESTART, "n000", term_ms, kill_ms + 1000.0),
        FaultInterval(FaultKind.RESTART_KILL, "n000", kill_ms, kill_ms),
    ]


def lose_late_in_restart(record: RunRecord) -> None:
    lose_in_restart(record, 800.0)


def lose_on_reused_connection_in_flood(record: RunRecord) -> None:
    lose_in_connection_flood(record)
    record.requests[5].was_reused = True
    record.requests[5].closed_ms = record.requests[5].sent_ms + 300.0


def lose_unread_in_connection_flood(record: RunRecord) -> None:
    """Lose a job on a connection that did not cross its close; the node was stalled."""
    lose_in_connection_flood(record)
    record.requests[5].closed_ms = record.requests[5].sent_ms + 62.0


def lose_when_resumed(record: RunRecord) -> None:
    """Lose a job because its node closes the connection when it resumes."""
    leave_unanswered(record)
    del record.attempts[5]
    request = record.requests[5]
    request.closed_ms = request.sent_ms + 500.0
    record.fault_intervals = [
        FaultInterval(FaultKind.NODE_PAUSE, "n000", request.sent_ms - 10.0, request.sent_ms + 490.0)
    ]


def lose_in_connection_flood(record: RunRecord) -> None:
    """Lose a job because its node, out of descriptors, closes the connection just as the job is sent."""
    leave_unanswered(record)
    del record.attempts[5]
    sent_ms = record.requests[5].sent_ms
    record.requests[5].status = 0
    record.requests[5].was_reused = False
    record.requests[5].closed_ms = sent_ms + 10.0
    record.fault_intervals = [
        FaultInterval(FaultKind.CONNECTION_FLOOD, "n000", sent_ms - 10.0, sent_ms + 10.0)
    ]


def open_two_attempts_at_killed_executor(record: RunRecord) -> None:
    """Retry a job after its first executor hung and was killed."""
    open_two_attempts(record)
    first, second = record.attempts[5], record.attempts[6]
    record.fault_intervals = [
        FaultInterval(
            FaultKind.EXECUTOR_KILL, first.executor, first.received_ms + 1.0, second.received_ms + 50.0
        )
    ]


def lose_at_shutdown(record: RunRecord, *, was_reused: bool, sent_after_term_ms: float) -> None:
    """Lose a job that a node in a shutdown has not read."""
    leave_unanswered(record)
    del record.attempts[5]
    request = record.requests[5]
    request.status = 0
    request.was_reused = was_reused
    request.closed_ms = request.sent_ms + 60.0
    term_ms = request.sent_ms - sent_after_term_ms
    record.fault_intervals = [
        FaultInterval(FaultKind.NODE_RESTART, "n000", term_ms, request.sent_ms + 1000.0)
    ]


def lose_on_reused_connection_in_shutdown(record: RunRecord) -> None:
    lose_at_shutdown(record, was_reused=True, sent_after_term_ms=410.0)


def lose_on_early_connection_in_shutdown(record: RunRecord) -> None:
    lose_at_shutdown(record, was_reused=False, sent_after_term_ms=390.0)


def lose_on_late_connection_in_shutdown(record: RunRecord) -> None:
    lose_at_shutdown(record, was_reused=False, sent_after_term_ms=410.0)


def run_unknown_job(record: RunRecord) -> None:
    record.attempts[5].id = "x"


def send_to_draining_executor(record: RunRecord) -> None:
    record.notifications = [Notification(record.start_ms + 1000.0, "n000", "s-1", EndpointHealth.DRAINING)]


def flood_executor_in_slow_start(record: RunRecord) -> None:
    record.fault_intervals = [
        FaultInterval(FaultKind.EXECUTOR_KILL, "s-1", record.start_ms, record.start_ms + 2000.0)
    ]
    for attempt in record.attempts:
        attempt.work_ms = 5000.0


def repeat_after_window(record: RunRecord) -> None:
    repeat_later(record, 1210.0)


def repeat_later(record: RunRecord, later_ms: float) -> None:
    """Send a job with an idempotency key again, this long after its first attempt."""
    record.plan = msgspec.structs.replace(record.plan, repeat_window_ms=1000.0)
    first, second = record.attempts[5], record.attempts[6]
    second.id = first.id
    first.job_class = second.job_class = KEYED_CLASS_NAME
    second.received_ms = first.received_ms + later_ms


def crash_node(record: RunRecord) -> None:
    record.unexpected_exits = {"n003": -11}


@pytest.mark.parametrize(
    ("break_rule", "message"),
    [
        (leave_unanswered, "no answer"),
        (answer_late, "late"),
        (answer_with_another_result, "no executor made"),
        (start_non_idempotent_job_twice, "started 2 times"),
        (reject_after_run, "retry does no harm"),
        (open_two_attempts, "2 attempts out at once, 1 allowed"),
        (lose_late_in_restart, "no answer"),
        (lose_on_reused_connection_in_flood, "no answer"),
        (lose_unread_in_connection_flood, "no answer"),
        (lose_when_resumed, "no answer"),
        (lose_on_reused_connection_in_shutdown, "no answer"),
        (lose_on_early_connection_in_shutdown, "no answer"),
        (run_unknown_job, "no client sent"),
        (send_to_draining_executor, "was notified that s-1 drains"),
        (flood_executor_in_slow_start, "of its budget"),
        (repeat_after_window, "10 ms after its window for repeats"),
        (crash_node, "ended with -11"),
    ],
)
def test_violation_is_reported(break_rule: Callable[[RunRecord], None], message: str) -> None:
    record = make_even_run()
    break_rule(record)
    assert any(message in violation for violation in audit(record).violations)


def kill_node(record: RunRecord) -> None:
    leave_unanswered(record)
    sent_ms = record.requests[5].sent_ms
    record.fault_intervals = [FaultInterval(FaultKind.NODE_KILL, "n000", sent_ms + 10.0, sent_ms + 20.0)]


def lose_early_in_restart(record: RunRecord) -> None:
    lose_in_restart(record, 600.0)


@pytest.mark.parametrize(
    ("lose", "excuse"),
    [
        (kill_node, Excuse.NODE_KILLED),
        (lose_early_in_restart, Excuse.NODE_KILLED_IN_RESTART),
        (lose_in_connection_flood, Excuse.CONNECTION_FLOOD),
        (lose_on_late_connection_in_shutdown, Excuse.CONNECTED_LATE),
    ],
)
def test_only_deviations_caused_by_the_schedule_are_excused(
    lose: Callable[[RunRecord], None], excuse: Excuse
) -> None:
    record = make_even_run()
    lose(record)
    result = audit(record)
    assert result.violations == []
    assert result.excused == {excuse: 1}
    record.requests[5].node = 1
    assert audit(record).violations


@pytest.mark.parametrize(
    ("later_ms", "outcome"), [(1190.0, AttemptOutcome.DONE), (1500.0, AttemptOutcome.REJECTED)]
)
def test_a_repeat_within_its_window_or_after_a_rejection_is_allowed(
    later_ms: float, outcome: AttemptOutcome
) -> None:
    record = make_even_run()
    repeat_later(record, later_ms)
    record.attempts[5].outcome = outcome
    assert not [violation for violation in audit(record).violations if "window" in violation]


def test_an_attempt_at_a_killed_executor_is_over() -> None:
    record = make_even_run()
    open_two_attempts_at_killed_executor(record)
    result = audit(record)
    assert not [violation for violation in result.violations if "attempts out at once" in violation]
    assert result.excused[Excuse.EXECUTOR_KILLED] == 1
