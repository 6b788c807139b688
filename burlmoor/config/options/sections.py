"""The sections of the options file, a frozen struct each; one that is absent is off."""

from __future__ import annotations

from typing import Annotated

import msgspec

from burlmoor.config.options.units import duration, share, size

_Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class Section(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """One section: keys with units and bounds, each with a default."""


class DeferredOptions(Section, frozen=True):
    """`[waiting]`: jobs that wait for other jobs or for a time."""

    max_jobs: _Count = msgspec.field(name="jobs", default=10_000)  # that may wait at a time
    max_body_bytes: Annotated[float, size("4 KiB", "64 GiB")] = msgspec.field(
        name="held", default=64.0 * 1024**2
    )  # bytes of their bodies
    connection_share: Annotated[float, share("1 %", "80 %")] = msgspec.field(
        name="places", default=0.25
    )  # of clients' connections they may hold
    max_dependents: _Count = msgspec.field(name="fan-out", default=1000)  # jobs that may wait for one
    max_dependencies: _Count = msgspec.field(name="names", default=64)  # jobs that one may wait for
    max_deferral_ms: Annotated[float, duration("1 s", "24 h")] = msgspec.field(
        name="longest", default=600_000.0
    )  # a job may wait in all
    unknown_timeout_ms: Annotated[float, duration("0 ms", "1 min")] = msgspec.field(
        name="unknown", default=2000.0
    )  # for a job not heard of yet
    history_ms: Annotated[float, duration("1 s", "24 h")] = msgspec.field(
        name="remember", default=120_000.0
    )  # how a job has ended
    history_size: _Count = msgspec.field(name="remembered", default=50_000)  # ended jobs, the latest
    min_remaining_ms: Annotated[float, duration("0 ms", "1 min")] = msgspec.field(
        name="least-left", default=100.0
    )  # besides its work, at release
    release_rate: _Count = 50  # jobs released a second where no executor is known to have room
    release_burst: _Count = 3
    full_credit_ms: Annotated[float, duration("1 ms", "1 h")] = msgspec.field(
        name="ageing", default=1000.0
    )  # of waiting until its claim is whole


class Options(msgspec.Struct, frozen=True):
    """The whole file."""

    waiting: DeferredOptions | None = None
