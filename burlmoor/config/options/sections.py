"""The sections of the options file, each a frozen struct; a subsystem is off if its section is absent."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import field

from burlmoor.config.options.units import duration, percentage, size

_Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class Section(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """Base class of the sections; a field declares the unit, bounds and default of its key."""


class DeferredOptions(Section, frozen=True):
    """`[waiting]`: jobs deferred until other jobs are served or until a given time."""

    # Concurrently deferred jobs, and the total size of their bodies.
    max_jobs: _Count = field(name="jobs", default=10_000)
    max_body_bytes: Annotated[float, size("4 KiB", "64 GiB")] = field(name="held", default=64.0 * 1024**2)
    # The fraction of downstream connections that deferred jobs may occupy.
    connection_fraction: Annotated[float, percentage("1 %", "80 %")] = field(name="places", default=0.25)
    # Jobs that may depend on one job, and jobs that one job may depend on.
    max_dependents: _Count = field(name="fan-out", default=1000)
    max_dependencies: _Count = field(name="names", default=64)
    # The longest deferral, and how long a dependency may be unknown.
    max_deferral_ms: Annotated[float, duration("1 s", "24 h")] = field(name="longest", default=600_000.0)
    unknown_timeout_ms: Annotated[float, duration("0 ms", "1 min")] = field(name="unknown", default=2000.0)
    # How long, and for how many jobs, the outcomes of ended jobs are remembered.
    history_ms: Annotated[float, duration("1 s", "24 h")] = field(name="remember", default=120_000.0)
    history_size: _Count = field(name="remembered", default=50_000)
    # The least time that a job must have until its deadline when it is released, in addition to its work.
    min_remaining_ms: Annotated[float, duration("0 ms", "1 min")] = field(name="least-left", default=100.0)
    # Jobs released per second, and in a burst, while no executor is known to have capacity.
    release_rate: _Count = 50
    release_burst: _Count = 3
    # The duration of a deferral after which the job gets the full priority credit for it.
    full_credit_ms: Annotated[float, duration("1 ms", "1 h")] = field(name="ageing", default=1000.0)


class Options(msgspec.Struct, frozen=True):
    """The whole options file; each attribute has the name of its section."""

    waiting: DeferredOptions | None = None
