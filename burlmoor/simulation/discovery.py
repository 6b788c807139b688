"""The discovery service of a simulated cluster."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from burlmoor.simulation.event_queue import EventQueue
    from burlmoor.types.endpoint_list import EndpointEntry


class ListSubscriber(Protocol):
    """The part of a node that the discovery service calls."""

    def on_list_changed(self, entries: list[EndpointEntry]) -> None:
        """Apply changes of the endpoint list."""


class SimulatedDiscovery:
    """Notifies every node of changes to the endpoint list, each after its own random delay."""

    def __init__(
        self,
        delay_ms: tuple[float, float],
        events: EventQueue,
        rng: random.Random,
        nodes: Sequence[ListSubscriber | None],
    ) -> None:
        self._delay_ms = delay_ms
        self._events = events
        self._rng = rng
        self._nodes = nodes

    def publish(self, entries: list[EndpointEntry]) -> None:
        """Notify every running node of these entries."""
        for node in self._nodes:
            if node is not None:
                arrives_at = self._events.now + self._rng.uniform(*self._delay_ms)
                notify: Callable[[], None] = partial(node.on_list_changed, entries)
                self._events.schedule(arrives_at, notify)
