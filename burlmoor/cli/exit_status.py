"""The exit statuses of the commands."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """The outcome of a command."""

    SUCCESS = 0
    FAILURE = 1  # the command failed, or a claim of its verdict does not hold
    INVALID = 2  # invalid usage or files
