"""Fault schedules drawn at random."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from burlmoor.testbed.fleet.faults import Fault, FaultSchedule

_MakeFault = Callable[[float, float], Fault]


def draw_schedule(seed: int, seconds: float, count: int) -> FaultSchedule:
    """Return faults of different kinds, one after another with time to recover between, drawn from a seed."""
    rng = random.Random(seed)
    # Each makes a fault from its start and duration in seconds. Parameters are drawn when it is called.
    makers: list[_MakeFault] = [
        lambda at, lasts: Fault(kind="kill", start=at, duration=lasts, nodes=f"{rng.choice([20, 40, 70])}%"),
        lambda at, lasts: Fault(kind="stop", start=at, duration=min(lasts, 3.0), nodes="10%"),
        lambda at, lasts: Fault(
            kind="die", start=at, duration=lasts, executors="10%", notification_delay=rng.uniform(0.2, 2.0)
        ),
        lambda at, lasts: Fault(kind="drain", start=at, duration=lasts, executors="15%", stagger=lasts),
        lambda at, lasts: Fault(kind="fail", start=at, duration=lasts, executors="2%"),
        lambda at, lasts: Fault(kind="still", start=at, duration=lasts, executors="4%"),
        lambda at, lasts: Fault(kind="cut", start=at, duration=lasts, nodes="50%", executors="20%"),
        lambda at, lasts: Fault(kind="late", start=at, duration=lasts, nodes="50%", magnitude=2000.0),
        lambda at, lasts: Fault(
            kind="delay", start=at, duration=lasts, nodes="30%", executors="30%", magnitude=40.0
        ),
    ]
    step = seconds / (count + 1)
    picked = rng.sample(makers, min(count, len(makers)))
    drawn = [make_fault(step * (number + 0.7), 0.4 * step) for number, make_fault in enumerate(picked)]
    return FaultSchedule(seed, tuple(_round_times(fault) for fault in drawn))


def _round_times(fault: Fault) -> Fault:
    return msgspec.structs.replace(fault, start=round(fault.start, 2), duration=round(fault.duration, 2))
