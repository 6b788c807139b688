"""Faults in a node's configuration, each reported on its own line."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from burlmoor.errors import BurlmoorError

if TYPE_CHECKING:
    import msgspec

_PATH_IN_ERROR = re.compile(r"(.*) - at `\$(.*)`", re.DOTALL)


@dataclass(frozen=True)
class ConfigFault:
    """One fault in the configuration.

    `value` is what was rejected: a value, a key, a section or a path. `allowed` is what would be accepted.
    Either is empty if it does not apply.
    """

    field: str  # a dotted path, `[section] key`, or an environment variable
    problem: str
    file: str = ""
    value: str = ""
    allowed: str = ""

    def __str__(self) -> str:
        """Return the fault as the single line that users see."""
        return ": ".join(part for part in (self.file, self.field, self.problem) if part)


def invalid_value(
    field: str, value: str, allowed: str, *, file: str = "", kind: str = "value"
) -> ConfigFault:
    """Return the fault of a value that is not allowed."""
    problem = f"invalid {kind} {value!r}; allowed: {allowed}"
    return ConfigFault(field, problem, file, value, allowed)


def decoding_fault(error: msgspec.MsgspecError, *, file: str = "", prefix: str = "") -> ConfigFault:
    """Convert an error of msgspec; the field is the path at the end of its message, if any."""
    match = _PATH_IN_ERROR.fullmatch(str(error))
    if match is None:
        return ConfigFault(prefix, str(error), file)
    problem, path = match.groups()
    return ConfigFault(f"{prefix}{path}".lstrip("."), problem, file)


class InvalidConfigError(BurlmoorError):
    """The configuration is invalid; the message has one line for each of `faults`."""

    def __init__(self, *faults: ConfigFault) -> None:
        super().__init__(*faults)
        self.faults = faults

    def __str__(self) -> str:
        """Return the faults, one per line."""
        return "\n".join(map(str, self.faults))
