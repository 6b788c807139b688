"""The actions that the policy decides on in one call of `Dispatcher.handle`."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.types.actions import Action


class ActionBatch:
    """Collects actions in the order of the decisions."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def start(self) -> None:
        """Start an empty batch, and discard the actions of a call that raised an exception."""
        self._actions = []

    def add(self, action: Action) -> None:
        """Add an action to the batch."""
        self._actions.append(action)

    def finish(self) -> list[Action]:
        """Return the actions added since `start`."""
        return self._actions
