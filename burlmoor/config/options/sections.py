"""The sections of the options file, a frozen struct each; one that is absent is off."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import field

from burlmoor.config.options.units import duration, percentage, size

_Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class Section(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """One section: keys with units and bounds, each with a default."""


class DeferredOptions(Section, frozen=True):
    """`[waiting]`: deferred jobs, which wait for other jobs or for a time."""

    # Jobs that may be deferred at a time, and bytes of their bodies.
    max_jobs: _Count = field(name="jobs", default=10_000)
    max_body_bytes: Annotated[float, size("4 KiB", "64 GiB")] = field(name="held", default=64.0 * 1024**2)
    # Of the clients' connections, how many deferred jobs may hold.
    connection_fraction: Annotated[float, percentage("1 %", "80 %")] = field(name="places", default=0.25)
    # Jobs that may wait for one job, and jobs that one job may wait for.
    max_dependents: _Count = field(name="fan-out", default=1000)
    max_dependencies: _Count = field(name="names", default=64)
    # How long a job may be deferred in all, and how long for a job that is not known yet.
    max_deferral_ms: Annotated[float, duration("1 s", "24 h")] = field(name="longest", default=600_000.0)
    unknown_timeout_ms: Annotated[float, duration("0 ms", "1 min")] = field(name="unknown", default=2000.0)
    # How long, and of how many of the latest jobs, it is known how they ended.
    history_ms: Annotated[float, duration("1 s", "24 h")] = field(name="remember", default=120_000.0)
    history_size: _Count = field(name="remembered", default=50_000)
    # What has to be left of a job's time at its release, besides its work.
    min_remaining_ms: Annotated[float, duration("0 ms", "1 min")] = field(name="least-left", default=100.0)
    # Jobs released a second, and at once, where no executor is known to have capacity.
    release_rate: _Count = 50
    release_burst: _Count = 3
    # How long a job has to wait until its wait counts in full for its priority.
    full_credit_ms: Annotated[float, duration("1 ms", "1 h")] = field(name="ageing", default=1000.0)


class Options(msgspec.Struct, frozen=True):
    """The whole file: the attributes are named like its sections."""

    waiting: DeferredOptions | None = None
