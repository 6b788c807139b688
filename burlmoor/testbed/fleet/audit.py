"""Checks the rules for the whole fleet against what clients and executors observed.

The nodes' own logs are not considered. A deviation is excused, and counted, only if the fault schedule itself
caused it: jobs at a node that was killed, answers that a paused node could not give, bytes that a link fault
delayed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.testbed.fleet.audit_answers import AnswerAudit
from burlmoor.testbed.fleet.audit_attempts import (
    check_drains,
    check_simultaneous_attempts,
    check_started_jobs,
)
from burlmoor.testbed.fleet.audit_repeats import check_repeat_windows
from burlmoor.testbed.fleet.audit_result import AuditResult
from burlmoor.testbed.fleet.audit_slow_start import check_slow_starts

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.record import RunRecord


def audit(record: RunRecord) -> AuditResult:
    """Check every rule for every request and attempt of a run."""
    result = AuditResult()
    result.violations += [f"{name} ended with {status}" for name, status in record.unexpected_exits.items()]
    AnswerAudit(record, result).check()
    check_started_jobs(record, result)
    check_simultaneous_attempts(record, result)
    check_repeat_windows(record, result)
    check_drains(record, result)
    check_slow_starts(record, result)
    return result
