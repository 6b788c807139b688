"""What both directions of the simulator's wire share: rows, and the error for a line that can't be parsed."""

from __future__ import annotations

from enum import Enum
from typing import Any

from burlmoor.errors import BurlmoorError

Row = list[Any]  # an event or a decision: its name, then its fields by position


class LineElement(Enum):
    """What a line consists of; the value is its name in an error's text."""

    BATCH = "a batch"
    EVENT = "an event"


class MalformedLineError(BurlmoorError):
    """A line that is not of this wire; `expected` is what could not be parsed there."""

    def __init__(self, expected: LineElement, cause: Exception) -> None:
        super().__init__(f"not {expected.value}: {cause!r}")
        self.expected = expected
