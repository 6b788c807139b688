"""Durations, sizes and percentages as operators write them: `250 ms`, `64 MiB`, `25 %`."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec

from burlmoor.errors import BurlmoorError

if TYPE_CHECKING:
    from collections.abc import Mapping

_QUANTITY = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?) *([A-Za-z%]+)")

# The value of each unit, by kind of quantity: in ms, in bytes, and as a fraction of one.
UNITS: Mapping[str, Mapping[str, float]] = {
    "duration": {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0},
    "size": {"B": 1.0, "KiB": 1024.0, "MiB": 1024.0**2, "GiB": 1024.0**3},
    "percentage": {"%": 0.01},
}


class InvalidQuantityError(BurlmoorError, ValueError):
    """The text is not a number with a unit of the expected kind."""

    def __init__(self, text: str, kind: str) -> None:
        self.text = text
        self.kind = kind
        self.allowed = f"a number and one of {', '.join(UNITS[kind])}"
        super().__init__(f"invalid {kind} {text!r}; allowed: {self.allowed}")


def duration(minimum: str, maximum: str) -> msgspec.Meta:
    """Return the bounds of a duration, in ms."""
    return _bounds("duration", minimum, maximum)


def size(minimum: str, maximum: str) -> msgspec.Meta:
    """Return the bounds of a size, in bytes."""
    return _bounds("size", minimum, maximum)


def percentage(minimum: str, maximum: str) -> msgspec.Meta:
    """Return the bounds of a percentage, as a fraction of one."""
    return _bounds("percentage", minimum, maximum)


def _bounds(kind: str, minimum: str, maximum: str) -> msgspec.Meta:
    return msgspec.Meta(
        ge=parse_quantity(minimum, kind), le=parse_quantity(maximum, kind), extra={"quantity": kind}
    )


def parse_quantity(text: str, kind: str) -> float:
    """Parse a quantity; return it in ms, in bytes, or as a fraction of one.

    Raises:
        InvalidQuantityError: the text is not a number with a unit of this kind.
    """
    units = UNITS[kind]
    match = _QUANTITY.fullmatch(text.strip())
    if match is None or match.group(2) not in units:
        raise InvalidQuantityError(text, kind)
    return float(match.group(1)) * units[match.group(2)]


def format_quantity(quantity: float, kind: str) -> str:
    """Format a quantity in the largest unit of its kind in which it is a whole number."""
    units = list(UNITS[kind].items())
    whole = [(name, factor) for name, factor in units if quantity >= factor and quantity % factor == 0.0]
    name, factor = (whole or units[:1])[-1]
    return f"{quantity / factor:.10g} {name}"
