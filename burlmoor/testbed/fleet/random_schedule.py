"""Fault schedules drawn at random."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

import msgspec

from burlmoor.testbed.fleet.faults import Direction, Fault, FaultSchedule

_MakeFault = Callable[[float, float], Fault]
_DIRECTIONS: tuple[Direction, ...] = ("both", "forward", "back")
_RECOVERY_SECONDS = 4.0
_MIN_FAULTS = 8
_MIN_SOAK_NODES = 10
_MAX_FURTHER_SIGNALS = 4  # after the SIGTERM of a restart
_RESTART_CYCLE_SECONDS = 7.0  # of a node that is restarted again and again: its end, a pause and its start
_MAX_RELOADS = 4  # in a row
_SLOW_LINK_SHARE = 0.5  # of the runs
_CROWD_SHARE = 0.35  # of the runs
_CROWD_SIZE = 300.0


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
    drawer = _FaultDrawer(rng, max(2.0, seconds - _RECOVERY_SECONDS))
    faults = [
        drawer.draw_isolation(),
        *drawer.draw_executor_faults(),
        *drawer.draw_link_faults(),
        *drawer.draw_discovery_faults(),
        *drawer.draw_node_faults(),
    ]
    return FaultSchedule(seed, tuple(rng.sample(faults, rng.randint(_MIN_FAULTS, len(faults)))))


def draw_soak_schedule(seed: int, seconds: float) -> FaultSchedule:
    """Return overlapping faults, and beside them restarts in series, reloads and, in some runs, crowds."""
    schedule = draw_overlapping_schedule(seed, seconds)
    # Drawn by themselves, so that the faults of a seed stay as they were.
    drawer = _SeriesDrawer(random.Random(f"{seed}:series"), max(2.0, seconds - _RECOVERY_SECONDS))
    series = (*drawer.draw_restarts(), drawer.draw_reloads(), *drawer.draw_slow_links())
    return FaultSchedule(seed, (*schedule.faults, *series, *drawer.draw_crowds()))


class _SeriesDrawer:
    """Draws faults that come in series within the first `end` seconds."""

    def __init__(self, rng: random.Random, end: float) -> None:
        self._rng = rng
        self._end = end

    def draw_restarts(self) -> list[Fault]:
        """Draw one node after another, and one node again and again."""
        share = f"{self._rng.choice([20, 40])}%"
        start = self._rng.uniform(0.5, 0.4 * self._end)
        rolling = self._draw_restart(start, nodes=share, stagger=round(0.4 * self._end, 2))
        name = f"n{self._rng.randrange(_MIN_SOAK_NODES):03d}"
        first = self._rng.uniform(0.0, 1.0)
        count = math.ceil((self._end - first) / _RESTART_CYCLE_SECONDS)
        repeated = [
            self._draw_restart(first + _RESTART_CYCLE_SECONDS * number, nodes=name) for number in range(count)
        ]
        return [rolling, *repeated]

    def _draw_restart(self, start: float, **parameters: Any) -> Fault:
        pause = self._rng.uniform(0.1, 1.0)
        further_signals = float(self._rng.randint(0, _MAX_FURTHER_SIGNALS))
        return _round_times(
            Fault(kind="restart", start=start, duration=pause, magnitude=further_signals, **parameters)
        )

    def draw_reloads(self) -> Fault:
        """Draw configurations that are read again several times in a row."""
        count = float(self._rng.randint(1, _MAX_RELOADS))
        start = self._rng.uniform(0.5, self._end)
        return _round_times(Fault(kind="reload", start=start, duration=0.0, nodes="40%", magnitude=count))

    def draw_slow_links(self) -> list[Fault]:
        """Draw, in some runs, links that are all the time as slow as between zones."""
        if self._rng.random() >= _SLOW_LINK_SHARE:
            return []
        delay_ms = round(self._rng.uniform(10.0, 45.0), 1)
        nodes = f"{self._rng.choice([30, 60])}%"
        return [
            Fault(kind="delay", start=0.0, duration=self._end, nodes=nodes, executors="*", magnitude=delay_ms)
        ]

    def draw_crowds(self) -> list[Fault]:
        """Draw, in some runs, idle clients that take more connections than a node has."""
        if self._rng.random() >= _CROWD_SHARE:
            return []
        start = self._rng.uniform(0.5, 0.5 * self._end)
        duration = self._rng.uniform(2.0, 0.5 * self._end)
        crowd = Fault(kind="crowd", start=start, duration=duration, nodes="20%", magnitude=_CROWD_SIZE)
        return [_round_times(crowd)]


class _FaultDrawer:
    """Draws faults that begin and end within the first `end` seconds."""

    def __init__(self, rng: random.Random, end: float) -> None:
        self._rng = rng
        self._end = end

    def _draw(self, kind: str, longest: float, **parameters: Any) -> Fault:
        start = self._rng.uniform(0.5, 0.9 * self._end)
        duration = min(self._rng.uniform(0.3, longest), self._end - start)
        return _round_times(Fault(kind=kind, start=start, duration=duration, **parameters))

    def _share(self, *percentages: int) -> str:
        return f"{self._rng.choice(percentages)}%"

    def _draw_announced(self, kind: str) -> Fault:
        delay = round(self._rng.uniform(0.1, 2.5), 2)
        return self._draw(kind, 6.0, executors=self._share(10, 20, 30), notification_delay=delay)

    def draw_isolation(self) -> Fault:
        """Draw an isolation, long enough for changes that are announced meanwhile to count as notified."""
        duration = self._rng.uniform(0.6, 0.8) * self._end
        return _round_times(
            Fault(kind="isolate", start=0.1 * self._end, duration=duration, nodes=self._share(20, 30))
        )

    def draw_executor_faults(self) -> list[Fault]:
        """Draw executors that vanish, die, drain or stand still."""
        stagger = round(self._rng.uniform(0.0, 2.0), 2)
        return [
            self._draw_announced("vanish"),
            self._draw_announced("vanish"),
            self._draw_announced("die"),
            self._draw("drain", 6.0, executors=self._share(10, 20), stagger=stagger),
            self._draw("still", 4.0, executors=self._share(10, 20)),
        ]

    def draw_link_faults(self) -> list[Fault]:
        """Draw links that are cut, reset connections or delay bytes."""
        direction = self._rng.choice(_DIRECTIONS)
        return [
            self._draw(
                "cut", 4.0, nodes=self._share(30, 50), executors=self._share(20, 40), direction=direction
            ),
            self._draw("reset", 4.0, nodes="*", executors=self._share(20, 40), magnitude=0.05),
            self._draw("delay", 4.0, nodes=self._share(30, 50), executors="*", magnitude=40.0),
        ]

    def draw_discovery_faults(self) -> list[Fault]:
        """Draw watches that break and lists that come late, and a discovery that is down or crowded."""
        return [
            self._draw("silent", 0.5, nodes=self._share(30, 60)),
            self._draw("broken", 0.5, nodes=self._share(30, 60)),
            self._draw("late", 3.0, nodes=self._share(30, 50), magnitude=2000.0),
            self._draw("down", 3.0, nodes="n000"),
            self._draw("crowded", 3.0, nodes="n000"),
        ]

    def draw_node_faults(self) -> list[Fault]:
        """Draw nodes that end or stop, some for so long that their list is too old afterwards."""
        return [
            self._draw("kill", 1.5, nodes=self._share(10, 20)),
            self._draw("kill", 9.0, nodes=self._share(10, 20)),
            self._draw("term", 1.5, nodes=self._share(10, 20)),
            self._draw("stop", 1.0, nodes=self._share(10, 20)),
            self._draw("stop", 9.0, nodes=self._share(5, 10)),
        ]


def _round_times(fault: Fault) -> Fault:
    return msgspec.structs.replace(fault, start=round(fault.start, 2), duration=round(fault.duration, 2))
