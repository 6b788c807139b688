"""The sections of the options file, a frozen struct each; one that is absent is off."""

from __future__ import annotations

from typing import Annotated

import msgspec

from burlmoor.options.units import duration, share, size

_Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class Section(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """One section: keys with units and bounds, each with a default."""


class Waiting(Section, frozen=True):
    """`[waiting]`: jobs that wait for other jobs or for a time."""

    jobs: _Count = 10_000  # that may wait at a time
    held: Annotated[float, size("4 KiB", "64 GiB")] = 64.0 * 1024**2  # bytes of their bodies
    places: Annotated[float, share("1 %", "80 %")] = 0.25  # of clients' connections they may hold
    fan_out: _Count = 1000  # jobs that may wait for one
    names: _Count = 64  # jobs that one may wait for
    longest: Annotated[float, duration("1 s", "24 h")] = 600_000.0  # a job may wait in all
    unknown: Annotated[float, duration("0 ms", "1 min")] = 2000.0  # for a job not heard of yet
    remember: Annotated[float, duration("1 s", "24 h")] = 120_000.0  # how a job has ended
    remembered: _Count = 50_000  # ended jobs, the latest
    least_left: Annotated[float, duration("0 ms", "1 min")] = 100.0  # besides its work, at release
    release_rate: _Count = 50  # jobs released a second where no executor is known to have room
    release_burst: _Count = 3
    ageing: Annotated[float, duration("1 ms", "1 h")] = 1000.0  # of waiting until its claim is whole


class Options(msgspec.Struct, frozen=True):
    """The whole file."""

    waiting: Waiting | None = None
