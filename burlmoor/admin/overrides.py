"""Administrative overrides, and the file that stores them for the node's next process."""

from __future__ import annotations

import os
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec

from burlmoor.endpoints.overrides import EndpointOverrides
from burlmoor.log_events import OverrideLoadFailed, OverrideSaveFailed

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.log import EventLogger


class Overrides(msgspec.Struct):
    """All administrative overrides."""

    endpoints: EndpointOverrides = msgspec.field(name="executors", default_factory=EndpointOverrides)
    is_drain_requested: bool = msgspec.field(name="drained", default=False)


class OverridesFile:
    """Owns the overrides file; without a path, nothing is loaded or saved."""

    def __init__(self, path: Path | None, log: EventLogger) -> None:
        self._path = path
        self._log = log

    def load(self) -> Overrides | None:
        """Return the stored overrides; None if there is no file, or an invalid one, which is logged."""
        if self._path is None or not self._path.exists():
            return None
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=Overrides)
        except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            # Logged only: a node that can't read its overrides still serves.
            self._log(OverrideLoadFailed(path=self._path.name, error=str(error)))
            return None

    def save(self, overrides: Overrides) -> None:
        """Replace the stored overrides; a failure is logged and leaves the file unchanged."""
        if self._path is None:
            return
        # The name is unique to this process, since the node's other process may save at the same time.
        new_file = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            # Replaced atomically: a crash leaves either the complete old file or the complete new one.
            new_file.write_bytes(msgspec.json.encode(overrides))
            new_file.replace(self._path)
        except OSError as error:
            self._log(OverrideSaveFailed(path=self._path.name, error=str(error)))
            with suppress(OSError):
                new_file.unlink()
