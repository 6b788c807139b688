"""Waits for the scheduled times of faults, and records when faults take place."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.fleet.record import FaultInterval, RunRecord

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.faults import Fault


async def sleep_until(record: RunRecord, at_seconds: float) -> None:
    """Sleep until `at_seconds` after the start of the load."""
    await trio.sleep(max(0.0, (record.start_ms - now_ms()) / 1000.0 + at_seconds))


def begin_interval(record: RunRecord, fault: Fault, subject: str) -> FaultInterval:
    """Record that a fault begins now, and return its interval, whose end is the planned one for now."""
    start_ms = now_ms()
    interval = FaultInterval(fault.kind, subject, start_ms, start_ms + fault.duration * 1000.0)
    record.fault_intervals.append(interval)
    return interval
