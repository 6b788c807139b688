"""The network that carries reports from executors to nodes, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from burlmoor.engine.core import EngineCore
    from burlmoor.engine.job import Attempt
    from burlmoor.simulation.event_queue import EventQueue
    from burlmoor.simulation.records import AttemptRecord
    from burlmoor.types.outcome import Outcome


_MIN_DELAY_FACTOR, _MAX_DELAY_FACTOR = 0.8, 1.5  # of a report's delay, relative to the network's delay


class NodeProcess(Protocol):
    """The part of a node that the network calls."""

    core: EngineCore
    generation: int
    is_alive: bool


class ResponseNetwork:
    """Reports to nodes what happens to their attempts, each report after its own random delay.

    In the other direction, `SimulatedNode` sends attempts and cancellations, with a fixed delay.
    """

    def __init__(
        self,
        delay_ms: float,
        events: EventQueue,
        rng: random.Random,
        nodes: Sequence[NodeProcess | None],
    ) -> None:
        self._delay_ms = delay_ms
        self._events = events
        self._rng = rng
        self._nodes = nodes

    def report_started(self, attempt: Attempt, record: AttemptRecord) -> None:
        """Report that an attempt has started to run."""
        self._report(record, lambda core: core.lifecycle.on_attempt_started(attempt))

    def report_progress(self, attempt: Attempt, record: AttemptRecord, fraction: float) -> None:
        """Report what fraction of an attempt's work is done."""
        self._report(record, lambda core: core.lifecycle.on_attempt_progressed(attempt, fraction))

    def report_end(
        self, attempt: Attempt, record: AttemptRecord, outcome: Outcome, result: bytes | None = None
    ) -> None:
        """Report how an attempt ended."""

        def end_attempt(core: EngineCore) -> None:
            if record.outcome is None:
                record.outcome = outcome
                record.outcome_known_at = self._events.now
            core.lifecycle.on_attempt_ended(attempt, outcome, result)

        self._report(record, end_attempt)

    def _report(self, record: AttemptRecord, deliver: Callable[[EngineCore], None]) -> None:
        """Deliver a report to the process that sent the attempt, if that process still runs on arrival."""
        node = self._nodes[record.node_index]

        def arrive() -> None:
            if node is not None and node.is_alive and node.generation == record.node_generation:
                deliver(node.core)

        self._events.schedule(
            self._events.now + self._delay_ms * self._rng.uniform(_MIN_DELAY_FACTOR, _MAX_DELAY_FACTOR),
            arrive,
        )
