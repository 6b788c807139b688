"""Hosts the dispatchers of one process, and passes each of them its own events."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.simulator_adapter.action_encoding import encode_action, encode_internal_error
from burlmoor.simulator_adapter.event_parsing import Kill, Spawn, parse_row
from burlmoor.simulator_adapter.wire import LineElement, MalformedLineError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.simulator_adapter.wire import Row
    from burlmoor.types.events import Event


class InstanceEvents(NamedTuple):
    """The events of one dispatcher within a batch."""

    instance: int
    rows: Sequence[Row]


class Batch(NamedTuple):
    """One line of input: the events of one point in time."""

    now: float  # ms
    instances: Sequence[InstanceEvents]


class DispatcherHost:
    """Owns the dispatchers of one process, by instance number."""

    def __init__(self) -> None:
        self._dispatchers: dict[int, Dispatcher] = {}

    def reply(self, line: str) -> str:
        """Return the reply line to one batch line.

        Raises:
            MalformedLineError: the line can't be parsed.
        """
        batch = _parse_batch(line)
        replies = []
        for instance, rows in batch.instances:
            decisions = self._handle_rows(batch.now, instance, rows)
            if decisions:
                replies.append({"I": instance, "decisions": decisions})
        return json.dumps({"parts": replies}, separators=(",", ":"))

    def _handle_rows(self, now: float, instance: int, rows: Sequence[Row]) -> list[Row]:
        """Start and end an instance's dispatchers as the rows say; return the decisions of the last one."""
        events: list[Event] = []
        for row in rows:
            parsed = parse_row(row)
            if isinstance(parsed, Spawn | Kill):
                # Earlier events need no decisions, since their dispatcher has ended.
                self._dispatchers.pop(instance, None)
                events.clear()
                if isinstance(parsed, Spawn):
                    try:
                        self._dispatchers[instance] = Dispatcher(parsed.settings, parsed.seed)
                    except Exception as error:  # noqa: BLE001
                        # The simulator gets the exception as a decision and continues without the instance.
                        return [encode_internal_error(error)]
            elif parsed is not None:
                events.append(parsed)
        return self._decide(now, instance, events)

    def _decide(self, now: float, instance: int, events: list[Event]) -> list[Row]:
        dispatcher = self._dispatchers.get(instance)
        if dispatcher is None or not events:
            return []
        try:
            return [encode_action(action) for action in dispatcher.handle(now, events)]
        except Exception as error:  # noqa: BLE001
            # Reported as above, so that an exception in one instance does not end the others.
            return [encode_internal_error(error)]


def _parse_batch(line: str) -> Batch:
    try:
        batch = json.loads(line)
        now = float(batch["Moment"])
        instances = [InstanceEvents(each["I"], each.get("events") or ()) for each in batch["parts"]]
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedLineError(LineElement.BATCH, error) from error
    return Batch(now, instances)
