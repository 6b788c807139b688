"""Handlers for signals that arrive while no service handles them: during the start, and at the very end.

Imported before anything else, since the rest of the program takes a while to import and SIGHUP would end
the process until then. Before the interpreter runs this module, the command that starts the process has to
ignore SIGHUP, as the deploy file does.
"""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType

_TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Owns the handlers that are in force whenever the service has none of its own."""

    def __init__(self) -> None:
        self._is_starting = True
        self._is_reload_requested = False

    def install(self) -> None:
        """Install the handlers; repeated calls change nothing."""
        signal.signal(signal.SIGHUP, self._on_reload)
        for number in _TERMINATION_SIGNALS:
            signal.signal(number, self._on_end)

    def _on_reload(self, _number: int, _frame: FrameType | None) -> None:
        self._is_reload_requested = True

    def _on_end(self, _number: int, _frame: FrameType | None) -> None:
        # A starting process has admitted nothing; a process whose service has ended exits by itself.
        if self._is_starting:
            os._exit(0)

    def ignore_all(self) -> None:
        """Ignore the signals: the process ends by itself, and the interpreter would restore the defaults."""
        for number in (signal.SIGHUP, *_TERMINATION_SIGNALS):
            signal.signal(number, signal.SIG_IGN)

    def on_configuration_read(self) -> None:
        """Note that the configuration is being read, which satisfies any reload requested before."""
        self._is_reload_requested = False

    def on_service_catches(self) -> bool:
        """Note that the service handles signals itself; return whether a reload was requested before."""
        self._is_starting = False
        return self._is_reload_requested


early_signals = EarlySignals()
