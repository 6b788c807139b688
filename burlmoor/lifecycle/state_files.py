"""The files that one process of a node leaves to the next, in the folder that `TMPDIR` names."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

if TYPE_CHECKING:
    from pathlib import Path

# Names that earlier releases have given their files: an upgrade has to find them.
_OVERRIDES_SUFFIX = "by-hand"
_HANDOVER_SOCKET_SUFFIX = "link"


class StateFiles:
    """The paths of one node's files; without a folder there are none."""

    def __init__(self, folder: Path | None, node_name: str) -> None:
        self._folder = folder
        self._file_stem = quote(node_name, safe="")

    @property
    def overrides(self) -> Path | None:
        """Where the administrative overrides are stored (`admin.OverridesFile`)."""
        return self._path(_OVERRIDES_SUFFIX)

    @property
    def handover_socket(self) -> Path | None:
        """Where the process that serves listens for its successor (`HandoverChannel`)."""
        return self._path(_HANDOVER_SOCKET_SUFFIX)

    def _path(self, suffix: str) -> Path | None:
        return None if self._folder is None else self._folder / f"{self._file_stem}.{suffix}"
