"""Parses the two headers with which a client defers its job. No I/O, no clock.

`Run-After: ID[, ID...]` may be given on several lines, as any list (RFC 9110, section 5.6.1: empty elements
are ignored). `Not-Before: T` is Unix time in ms and may be given once.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from burlmoor.downstream.job_headers import REQUEST_ID
from burlmoor.engine.deferral import InvalidConditionError, RunConditions

if TYPE_CHECKING:
    from collections.abc import Sequence

_RUN_AFTER = b"run-after"
_NOT_BEFORE = b"not-before"
# The spellings in error messages.
_RUN_AFTER_NAME = "Run-After"
_NOT_BEFORE_NAME = "Not-Before"
_UNIX_MS = re.compile(r"[0-9]{1,15}")


class ConditionParser:
    """Parses the conditions of requests, each of which may name at most `max_dependencies` jobs."""

    def __init__(self, max_dependencies: int) -> None:
        self.max_dependencies = max_dependencies

    def parse(
        self, headers: Sequence[tuple[bytes, bytes]], request_id: str, size_bytes: int
    ) -> RunConditions | None:
        """Return the conditions of a request with a body of this size, or None if it has none.

        Raises:
            InvalidConditionError: a header is invalid; the text names it.
        """
        run_after = [value for name, value in headers if name == _RUN_AFTER]
        not_before = [value for name, value in headers if name == _NOT_BEFORE]
        if not run_after and not not_before:
            return None
        dependencies = self._parse_run_after(run_after, request_id) if run_after else ()
        return RunConditions(dependencies, _parse_not_before(not_before), size_bytes)

    def _parse_run_after(self, values: Sequence[bytes], request_id: str) -> tuple[str, ...]:
        elements = b",".join(values).decode("latin-1").split(",")
        ids = (element.strip(" \t") for element in elements)
        dependencies = tuple(dict.fromkeys(each_id for each_id in ids if each_id))  # without duplicates
        if not dependencies:
            raise InvalidConditionError(_RUN_AFTER_NAME, "names no job")
        if not all(REQUEST_ID.fullmatch(dependency) for dependency in dependencies):
            raise InvalidConditionError(_RUN_AFTER_NAME, "is not a list of ids")
        if request_id in dependencies:
            raise InvalidConditionError(_RUN_AFTER_NAME, "names the job itself")
        if len(dependencies) > self.max_dependencies:
            raise InvalidConditionError(_RUN_AFTER_NAME, f"names over {self.max_dependencies} jobs")
        return dependencies


def _parse_not_before(values: Sequence[bytes]) -> float:
    if len(values) > 1:
        raise InvalidConditionError(_NOT_BEFORE_NAME, "is given twice")
    text = values[0].decode("latin-1") if values else "0"
    if not _UNIX_MS.fullmatch(text):
        raise InvalidConditionError(_NOT_BEFORE_NAME, "is not a Unix time in ms")
    return float(text)
