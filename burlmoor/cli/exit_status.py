"""The exit statuses of the commands."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a command reports by its exit status."""

    SUCCESS = 0
    FAILURE = 1  # the command failed, or a claim of its verdict did not hold
    INVALID = 2  # invalid usage or files
