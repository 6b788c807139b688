"""Fault schedules drawn at random."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from burlmoor.testbed.fleet.faults import Direction, Fault, FaultSchedule

_MakeFault = Callable[[float, float], Fault]
_DIRECTIONS: tuple[Direction, ...] = ("both", "forward", "back")
_RECOVERY_SECONDS = 4.0
_MIN_FAULTS = 8


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


def draw_overlapping_schedule(seed: int, seconds: float) -> FaultSchedule:
    """Return many faults that overlap in time, drawn from a seed, with some time to recover at the end."""
    rng = random.Random(seed)
    end = max(2.0, seconds - _RECOVERY_SECONDS)

    def draw(kind: str, longest: float, **parameters: Any) -> Fault:
        start = rng.uniform(0.5, 0.9 * end)
        return _round_times(
            Fault(kind=kind, start=start, duration=min(rng.uniform(0.3, longest), end - start), **parameters)
        )

    def share(*percentages: int) -> str:
        return f"{rng.choice(percentages)}%"

    def announced(kind: str) -> Fault:
        delay = round(rng.uniform(0.1, 2.5), 2)
        return draw(kind, 6.0, executors=share(10, 20, 30), notification_delay=delay)

    # Long enough for changes that are announced meanwhile to count as notified.
    isolation = Fault(
        kind="isolate", start=0.1 * end, duration=rng.uniform(0.6, 0.8) * end, nodes=share(20, 30)
    )
    faults = [
        _round_times(isolation),
        announced("vanish"),
        announced("vanish"),
        announced("die"),
        draw("drain", 6.0, executors=share(10, 20), stagger=round(rng.uniform(0.0, 2.0), 2)),
        draw("still", 4.0, executors=share(10, 20)),
        draw("cut", 4.0, nodes=share(30, 50), executors=share(20, 40), direction=rng.choice(_DIRECTIONS)),
        draw("reset", 4.0, nodes="*", executors=share(20, 40), magnitude=0.05),
        draw("delay", 4.0, nodes=share(30, 50), executors="*", magnitude=40.0),
        draw("silent", 0.5, nodes=share(30, 60)),
        draw("broken", 0.5, nodes=share(30, 60)),
        draw("late", 3.0, nodes=share(30, 50), magnitude=2000.0),
        draw("down", 3.0, nodes="n000"),
        draw("crowded", 3.0, nodes="n000"),
        draw("kill", 1.5, nodes=share(10, 20)),
        # For so long that the list with which they start again is too old.
        draw("kill", 9.0, nodes=share(10, 20)),
        draw("term", 1.5, nodes=share(10, 20)),
        draw("stop", 1.0, nodes=share(10, 20)),
        draw("stop", 9.0, nodes=share(5, 10)),
    ]
    return FaultSchedule(seed, tuple(rng.sample(faults, rng.randint(_MIN_FAULTS, len(faults)))))


def _round_times(fault: Fault) -> Fault:
    return msgspec.structs.replace(fault, start=round(fault.start, 2), duration=round(fault.duration, 2))
