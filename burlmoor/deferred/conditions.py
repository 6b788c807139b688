"""What a client asks its job to wait for, read from two headers. No I/O, no clock.

`Run-After: ID[, ID...]` may stand on several lines, as any list (RFC 9110, section 5.6.1: empty elements are
ignored); `Not-Before: T` is Unix time in ms, once.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from burlmoor.downstream.job_headers import REQUEST_ID
from burlmoor.engine.deferral import InvalidConditionError, RunConditions

RUN_AFTER, NOT_BEFORE = b"run-after", b"not-before"
_TIME = re.compile(r"[0-9]{1,15}")


class ConditionParser:
    """Owns the limits on what may be asked."""

    def __init__(self, names: int) -> None:
        self.max_dependencies = names

    def __call__(
        self, headers: Sequence[tuple[bytes, bytes]], request_id: str, size: int
    ) -> RunConditions | None:
        """The conditions of one request, `size` bytes of body with it; None where it has none."""
        lists = [value for name, value in headers if name == RUN_AFTER]
        times = [value for name, value in headers if name == NOT_BEFORE]
        if not lists and not times:
            return None
        after = self._names(b",".join(lists).decode("latin-1"), request_id) if lists else ()
        return RunConditions(after, self._time(times), size)

    def _names(self, text: str, request_id: str) -> tuple[str, ...]:
        # A name that is repeated counts once.
        names = tuple(dict.fromkeys(name for each in text.split(",") if (name := each.strip(" \t"))))
        if not names:
            raise InvalidConditionError("Run-After names no job")
        for name in names:
            if not REQUEST_ID.fullmatch(name):
                raise InvalidConditionError("Run-After is not a list of ids")
        if request_id in names:
            raise InvalidConditionError("Run-After names the job itself")
        if len(names) > self.max_dependencies:
            raise InvalidConditionError(f"Run-After names over {self.max_dependencies} jobs")
        return names

    def _time(self, times: Sequence[bytes]) -> float:
        if len(times) > 1:
            raise InvalidConditionError("Not-Before is given twice")
        text = times[0].decode("latin-1") if times else "0"
        if not _TIME.fullmatch(text):
            raise InvalidConditionError("Not-Before is not a Unix time in ms")
        return float(text)
