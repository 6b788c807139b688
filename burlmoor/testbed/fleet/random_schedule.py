"""Random fault schedules.

A seed determines a schedule only as long as the order of the draws stays the same. New kinds of faults draw
from a generator of their own, so that the other faults of each seed stay as they are.
"""

from __future__ import annotations

import math
import random
from functools import partial
from typing import TypedDict, Unpack

import msgspec

from burlmoor.testbed.fleet.addresses import node_name
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule, LinkDirection

_DIRECTIONS = (LinkDirection.BOTH, LinkDirection.FORWARD, LinkDirection.BACK)
# Outages and overload of discovery affect all nodes, whichever are selected; selecting one injects them once.
_ONE_NODE = node_name(0)

_RECOVERY_SECONDS = 4.0  # at the end of a run, without faults
_MIN_FAULTED_SECONDS = 2.0
_MIN_FAULTS = 8
_FIRST_START_SECONDS = 0.5
_LAST_START_FRACTION = 0.9  # of the time in which faults occur
_MIN_DURATION_SECONDS = 0.3
_MAX_PAUSE_SECONDS = 3.0  # of a node, in sequential schedules
_DISCOVERY_DELAY_MS = 2000.0
_LINK_DELAY_MS = 40.0
_RESET_FRACTION = 0.05  # of the messages

_MIN_SOAK_NODES = 10
_MAX_FURTHER_SIGNALS = 4  # after the SIGTERM of a restart
_RESTART_CYCLE_SECONDS = 7.0  # of a node that is restarted repeatedly: shutdown, pause and start
_MAX_RELOADS = 4  # in succession
_SLOW_LINK_PROBABILITY = 0.5  # for each run
_FLOOD_PROBABILITY = 0.35  # for each run
_FLOOD_CONNECTIONS = 300.0
_PERSISTENT_CLIENTS = 80.0  # more than the node keeps idle connections for
_MAX_STALL_MS = 150.0  # for which the rules allow a node to stall between two steps
_CLIENTS_FLOOD_PROBABILITY = 0.5  # for each run
_INPUT_FLOOD_PROBABILITY = 0.5  # for each run
_INPUT_FLOOD_CONNECTIONS = 8.0


class _Parameters(TypedDict, total=False):
    """The parameters of a fault other than its kind, start and duration; see `Fault` for their units."""

    nodes: str
    executors: str
    direction: LinkDirection
    magnitude: float
    notification_delay: float
    stagger: float


# The kinds of faults in sequential schedules, with those parameters that are not drawn.
_SEQUENTIAL_FAULTS: dict[FaultKind, _Parameters] = {
    FaultKind.NODE_KILL: {},
    FaultKind.NODE_PAUSE: {"nodes": "10%"},
    FaultKind.EXECUTOR_KILL: {"executors": "10%"},
    FaultKind.EXECUTOR_DRAIN: {"executors": "15%"},
    FaultKind.EXECUTOR_ERRORS: {"executors": "2%"},
    FaultKind.EXECUTOR_HANG: {"executors": "4%"},
    FaultKind.LINK_PARTITION: {"nodes": "50%", "executors": "20%"},
    FaultKind.DISCOVERY_DELAY: {"nodes": "50%", "magnitude": _DISCOVERY_DELAY_MS},
    FaultKind.LINK_DELAY: {"nodes": "30%", "executors": "30%", "magnitude": _LINK_DELAY_MS},
}


def draw_sequential_schedule(seed: int, seconds: float, count: int) -> FaultSchedule:
    """Draw sequential faults, each of a different kind, with time to recover between them.

    At each node or executor, a fault lasts for at most 0.4 of the time between the starts of two faults.
    """
    rng = random.Random(seed)
    kinds = rng.sample(list(_SEQUENTIAL_FAULTS), min(count, len(_SEQUENTIAL_FAULTS)))
    step = seconds / (count + 1)
    drawn = [
        _draw_sequential_fault(rng, kind, step * (number + 0.7), 0.4 * step)
        for number, kind in enumerate(kinds)
    ]
    return FaultSchedule(seed, tuple(_round_times(fault) for fault in drawn))


def _draw_sequential_fault(rng: random.Random, kind: FaultKind, start: float, duration: float) -> Fault:
    parameters = _SEQUENTIAL_FAULTS[kind].copy()
    if kind is FaultKind.NODE_KILL:
        parameters["nodes"] = f"{rng.choice([20, 40, 70])}%"
    elif kind is FaultKind.NODE_PAUSE:
        duration = min(duration, _MAX_PAUSE_SECONDS)
    elif kind is FaultKind.EXECUTOR_KILL:
        parameters["notification_delay"] = rng.uniform(0.2, 2.0)
    elif kind is FaultKind.EXECUTOR_DRAIN:
        parameters["stagger"] = duration
    return Fault(kind=kind, start=start, duration=duration, **parameters)


def draw_overlapping_schedule(seed: int, seconds: float) -> FaultSchedule:
    """Draw many faults that overlap in time, with some time to recover at the end."""
    rng = random.Random(seed)
    generator = _FaultGenerator(rng, _faulted_seconds(seconds))
    faults = [
        generator.draw_isolation(),
        *generator.draw_executor_faults(),
        *generator.draw_link_faults(),
        *generator.draw_discovery_faults(),
        *generator.draw_node_faults(),
    ]
    return FaultSchedule(seed, tuple(rng.sample(faults, rng.randint(_MIN_FAULTS, len(faults)))))


def draw_soak_schedule(seed: int, seconds: float) -> FaultSchedule:
    """Draw overlapping faults, restarts, reloads and, in some runs, slow links and floods."""
    schedule = draw_overlapping_schedule(seed, seconds)
    generator = _FaultSeriesGenerator(random.Random(f"{seed}:series"), _faulted_seconds(seconds))
    series = (*generator.draw_restarts(), generator.draw_reloads(), *generator.draw_slow_links())
    floods = generator.draw_connection_floods()
    clients = _PersistentClientsGenerator(random.Random(f"{seed}:crowds"), _faulted_seconds(seconds)).draw()
    input_floods = _draw_input_floods(random.Random(f"{seed}:floods"), _faulted_seconds(seconds))
    return FaultSchedule(seed, (*schedule.faults, *series, *floods, *clients, *input_floods))


def _draw_input_floods(rng: random.Random, end: float) -> list[Fault]:
    """Draw, in some runs, a client that floods some nodes with input."""
    if rng.random() >= _INPUT_FLOOD_PROBABILITY:
        return []
    flood = Fault(
        kind=FaultKind.INPUT_FLOOD,
        start=rng.uniform(_FIRST_START_SECONDS, 0.5 * end),
        duration=rng.uniform(2.0, 0.5 * end),
        nodes="20%",
        magnitude=_INPUT_FLOOD_CONNECTIONS,
    )
    return [_round_times(flood)]


def _faulted_seconds(seconds: float) -> float:
    """Return the time, from the start of a run of this length, in which faults occur."""
    return max(_MIN_FAULTED_SECONDS, seconds - _RECOVERY_SECONDS)


class _FaultSeriesGenerator:
    """Draws restarts, reloads, slow links and connection floods that start in the first `end` seconds."""

    def __init__(self, rng: random.Random, end: float) -> None:
        self._rng = rng
        self._end = end

    def draw_restarts(self) -> list[Fault]:
        """Draw a rolling restart of some nodes, and repeated restarts of a single node."""
        nodes = f"{self._rng.choice([20, 40])}%"
        start = self._rng.uniform(_FIRST_START_SECONDS, 0.4 * self._end)
        rolling = self._draw_restart(start, nodes=nodes, stagger=round(0.4 * self._end, 2))
        name = node_name(self._rng.randrange(_MIN_SOAK_NODES))
        first = self._rng.uniform(0.0, 1.0)
        count = math.ceil((self._end - first) / _RESTART_CYCLE_SECONDS)
        repeated = [
            self._draw_restart(first + _RESTART_CYCLE_SECONDS * number, nodes=name) for number in range(count)
        ]
        return [rolling, *repeated]

    def _draw_restart(self, start: float, **parameters: Unpack[_Parameters]) -> Fault:
        pause = self._rng.uniform(0.1, 1.0)
        parameters["magnitude"] = float(self._rng.randint(0, _MAX_FURTHER_SIGNALS))
        return _round_times(Fault(kind=FaultKind.NODE_RESTART, start=start, duration=pause, **parameters))

    def draw_reloads(self) -> Fault:
        """Draw one or several configuration reloads in succession."""
        count = float(self._rng.randint(1, _MAX_RELOADS))
        start = self._rng.uniform(_FIRST_START_SECONDS, self._end)
        reloads = Fault(kind=FaultKind.NODE_RELOAD, start=start, duration=0.0, nodes="40%", magnitude=count)
        return _round_times(reloads)

    def draw_slow_links(self) -> list[Fault]:
        """Draw, in some runs, links that are as slow as those between zones for the whole time."""
        if self._rng.random() >= _SLOW_LINK_PROBABILITY:
            return []
        delay_ms = round(self._rng.uniform(10.0, 45.0), 1)
        nodes = f"{self._rng.choice([30, 60])}%"
        delay = Fault(
            kind=FaultKind.LINK_DELAY,
            start=0.0,
            duration=self._end,
            nodes=nodes,
            executors="*",
            magnitude=delay_ms,
        )
        return [delay]

    def draw_connection_floods(self) -> list[Fault]:
        """Draw, in some runs, a flood of idle connections, more than a node has descriptors for."""
        if self._rng.random() >= _FLOOD_PROBABILITY:
            return []
        start = self._rng.uniform(_FIRST_START_SECONDS, 0.5 * self._end)
        duration = self._rng.uniform(2.0, 0.5 * self._end)
        flood = Fault(
            kind=FaultKind.CONNECTION_FLOOD,
            start=start,
            duration=duration,
            nodes="20%",
            magnitude=_FLOOD_CONNECTIONS,
        )
        return [_round_times(flood)]


class _PersistentClientsGenerator:
    """Draws persistent clients of one node, which is stalled for short times and restarted meanwhile."""

    def __init__(self, rng: random.Random, end: float) -> None:
        self._rng = rng
        self._end = end

    def draw(self) -> list[Fault]:
        """Draw the faults; in some runs, the node's descriptors are taken up as well."""
        node = node_name(self._rng.randrange(_MIN_SOAK_NODES))
        draw = partial(self._draw, nodes=node)
        faults = [
            draw(FaultKind.PERSISTENT_CLIENTS, 0.0, self._end, magnitude=_PERSISTENT_CLIENTS),
            draw(FaultKind.NODE_STALLS, 0.0, self._end, magnitude=_MAX_STALL_MS),
        ]
        at = self._rng.uniform(1.0, _RESTART_CYCLE_SECONDS)
        while at < self._end:
            signals = float(self._rng.randint(0, _MAX_FURTHER_SIGNALS))
            faults.append(draw(FaultKind.NODE_RESTART, at, self._rng.uniform(0.1, 1.0), magnitude=signals))
            at += _RESTART_CYCLE_SECONDS
        if self._rng.random() < _CLIENTS_FLOOD_PROBABILITY:
            faults.append(
                draw(FaultKind.CONNECTION_FLOOD, 1.0, 0.6 * self._end, magnitude=_FLOOD_CONNECTIONS)
            )
        return faults

    @staticmethod
    def _draw(kind: FaultKind, start: float, duration: float, *, nodes: str, magnitude: float) -> Fault:
        return _round_times(
            Fault(kind=kind, start=start, duration=duration, nodes=nodes, magnitude=magnitude)
        )


class _FaultGenerator:
    """Draws faults that begin and end within the first `end` seconds."""

    def __init__(self, rng: random.Random, end: float) -> None:
        self._rng = rng
        self._end = end

    def _draw(self, kind: FaultKind, *, max_seconds: float, **parameters: Unpack[_Parameters]) -> Fault:
        start = self._rng.uniform(_FIRST_START_SECONDS, _LAST_START_FRACTION * self._end)
        duration = min(self._rng.uniform(_MIN_DURATION_SECONDS, max_seconds), self._end - start)
        return _round_times(Fault(kind=kind, start=start, duration=duration, **parameters))

    def _draw_percentage(self, *percentages: int) -> str:
        return f"{self._rng.choice(percentages)}%"

    def _draw_announced_fault(self, kind: FaultKind) -> Fault:
        """Draw a fault of executors that discovery announces after a delay."""
        delay = round(self._rng.uniform(0.1, 2.5), 2)
        executors = self._draw_percentage(10, 20, 30)
        return self._draw(kind, max_seconds=6.0, executors=executors, notification_delay=delay)

    def draw_isolation(self) -> Fault:
        """Draw an isolation of nodes for most of the run.

        A node counts as notified of a change after a limited time, even if it is isolated for longer.
        """
        duration = self._rng.uniform(0.6, 0.8) * self._end
        nodes = self._draw_percentage(20, 30)
        start = 0.1 * self._end
        return _round_times(Fault(kind=FaultKind.NODE_ISOLATION, start=start, duration=duration, nodes=nodes))

    def draw_executor_faults(self) -> list[Fault]:
        """Draw partitions, kills, drains and hangs of executors."""
        stagger = round(self._rng.uniform(0.0, 2.0), 2)
        draw, percent = self._draw, self._draw_percentage
        return [
            self._draw_announced_fault(FaultKind.EXECUTOR_PARTITION),
            self._draw_announced_fault(FaultKind.EXECUTOR_PARTITION),
            self._draw_announced_fault(FaultKind.EXECUTOR_KILL),
            draw(FaultKind.EXECUTOR_DRAIN, max_seconds=6.0, executors=percent(10, 20), stagger=stagger),
            draw(FaultKind.EXECUTOR_HANG, max_seconds=4.0, executors=percent(10, 20)),
        ]

    def draw_link_faults(self) -> list[Fault]:
        """Draw link partitions, connection resets and delays."""
        direction = self._rng.choice(_DIRECTIONS)
        draw, percent = partial(self._draw, max_seconds=4.0), self._draw_percentage
        return [
            draw(
                FaultKind.LINK_PARTITION,
                nodes=percent(30, 50),
                executors=percent(20, 40),
                direction=direction,
            ),
            draw(FaultKind.LINK_RESET, nodes="*", executors=percent(20, 40), magnitude=_RESET_FRACTION),
            draw(FaultKind.LINK_DELAY, nodes=percent(30, 50), executors="*", magnitude=_LINK_DELAY_MS),
        ]

    def draw_discovery_faults(self) -> list[Fault]:
        """Draw stalls and resets of watches, late endpoint lists, and outages and overload of discovery."""
        draw, percent = self._draw, self._draw_percentage
        delay_ms = _DISCOVERY_DELAY_MS
        return [
            draw(FaultKind.WATCH_STALL, max_seconds=0.5, nodes=percent(30, 60)),
            draw(FaultKind.WATCH_RESET, max_seconds=0.5, nodes=percent(30, 60)),
            draw(FaultKind.DISCOVERY_DELAY, max_seconds=3.0, nodes=percent(30, 50), magnitude=delay_ms),
            draw(FaultKind.DISCOVERY_OUTAGE, max_seconds=3.0, nodes=_ONE_NODE),
            draw(FaultKind.DISCOVERY_OVERLOAD, max_seconds=3.0, nodes=_ONE_NODE),
        ]

    def draw_node_faults(self) -> list[Fault]:
        """Draw kills, terminations and pauses of nodes, some longer than a node may use its endpoint list."""
        draw, percent = self._draw, self._draw_percentage
        return [
            draw(FaultKind.NODE_KILL, max_seconds=1.5, nodes=percent(10, 20)),
            draw(FaultKind.NODE_KILL, max_seconds=9.0, nodes=percent(10, 20)),
            draw(FaultKind.NODE_TERMINATION, max_seconds=1.5, nodes=percent(10, 20)),
            draw(FaultKind.NODE_PAUSE, max_seconds=1.0, nodes=percent(10, 20)),
            draw(FaultKind.NODE_PAUSE, max_seconds=9.0, nodes=percent(5, 10)),
        ]


def _round_times(fault: Fault) -> Fault:
    return msgspec.structs.replace(fault, start=round(fault.start, 2), duration=round(fault.duration, 2))
