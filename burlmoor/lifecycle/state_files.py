"""Paths of the files that one process of a node leaves for the next, in the folder that `TMPDIR` names."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

if TYPE_CHECKING:
    from pathlib import Path

# Unchanged from earlier releases, so that an upgraded process finds their files.
_OVERRIDES_SUFFIX = "by-hand"
_HANDOVER_SOCKET_SUFFIX = "link"


class StateFiles:
    """The paths of one node's state files; all are None without a folder."""

    def __init__(self, folder: Path | None, node_name: str) -> None:
        self._folder = folder
        self._file_stem = quote(node_name, safe="")

    @property
    def overrides(self) -> Path | None:
        """The path of the administrative overrides (`admin.overrides.OverridesFile`)."""
        return self._path(_OVERRIDES_SUFFIX)

    @property
    def handover_socket(self) -> Path | None:
        """The path of the socket on which a process waits for its successor (`HandoverChannel`)."""
        return self._path(_HANDOVER_SOCKET_SUFFIX)

    def _path(self, suffix: str) -> Path | None:
        return None if self._folder is None else self._folder / f"{self._file_stem}.{suffix}"
