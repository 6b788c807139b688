"""Durations, sizes and shares as operators write them: `250 ms`, `64 MiB`, `25 %`."""

from __future__ import annotations

import re
from collections.abc import Mapping

import msgspec

_WRITTEN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?) *([A-Za-z%]+)")

# What one of each unit is worth: in ms, in bytes, and as a share of one.
UNITS: Mapping[str, Mapping[str, float]] = {
    "duration": {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0},
    "size": {"B": 1.0, "KiB": 1024.0, "MiB": 1024.0**2, "GiB": 1024.0**3},
    "share": {"%": 0.01},
}


def _between(name: str, ge: str, le: str) -> msgspec.Meta:
    return msgspec.Meta(ge=value(ge, name), le=value(le, name), extra={"unit": name})


def duration(ge: str, le: str) -> msgspec.Meta:
    """Bounds of a duration, kept in ms, between two written ones."""
    return _between("duration", ge, le)


def size(ge: str, le: str) -> msgspec.Meta:
    """Bounds of a size, kept in bytes, between two written ones."""
    return _between("size", ge, le)


def share(ge: str, le: str) -> msgspec.Meta:
    """Bounds of a share, kept as a share of one, between two written ones."""
    return _between("share", ge, le)


def value(text: str, kind: str) -> float:
    """What a written figure is worth: ms, bytes, or a share of one; ValueError if it cannot be meant."""
    units = UNITS[kind]
    found = _WRITTEN.fullmatch(text.strip())
    if found is None or found.group(2) not in units:
        raise ValueError(f"{text!r} is no {kind}: a number and one of {', '.join(units)}")
    return float(found.group(1)) * units[found.group(2)]


def written(figure: float, kind: str) -> str:
    """A figure in the largest unit of its kind in which it is a whole number."""
    units = list(UNITS[kind].items())
    whole = [each for each in units if figure >= each[1] and figure % each[1] == 0.0]
    name, worth = (whole or units[:1])[-1]
    return f"{figure / worth:.10g} {name}"
