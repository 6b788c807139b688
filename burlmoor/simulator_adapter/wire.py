"""The row type and the parse error of the simulator's protocol."""

from __future__ import annotations

from enum import Enum
from typing import Any

from burlmoor.errors import BurlmoorError

Row = list[Any]  # an event or a decision: its name, then its fields by position


class LineElement(Enum):
    """An element of a line; the value is its name in an error's text."""

    BATCH = "a batch"
    EVENT = "an event"


class MalformedLineError(BurlmoorError):
    """A line can't be parsed; `expected` is the element that was expected."""

    def __init__(self, expected: LineElement, cause: Exception) -> None:
        super().__init__(f"expected {expected.value}: {cause!r}")
        self.expected = expected
