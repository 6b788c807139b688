"""Signal handlers for the time before the service handles signals itself, and after it has ended.

This module is imported before anything else: importing the rest of the program takes a while, and until a
handler is installed SIGHUP ends the process. The command that starts the process must ignore SIGHUP until
the interpreter runs this module, as the command in the deploy file does.
"""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType

_TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Handles SIGHUP, SIGTERM and SIGINT whenever the service has no handlers of its own."""

    def __init__(self) -> None:
        self._is_starting = True
        self._is_reload_requested = False

    def install(self) -> None:
        """Install the handlers; repeated calls change nothing."""
        signal.signal(signal.SIGHUP, self._on_reload)
        for signal_number in _TERMINATION_SIGNALS:
            signal.signal(signal_number, self._on_termination)

    def _on_reload(self, _signal_number: int, _frame: FrameType | None) -> None:
        self._is_reload_requested = True

    def _on_termination(self, _signal_number: int, _frame: FrameType | None) -> None:
        # A starting process has admitted no jobs; once the service has ended, the process exits by itself.
        if self._is_starting:
            os._exit(0)

    def ignore_all(self) -> None:
        """Ignore the signals while the process exits; the interpreter would restore their default actions."""
        for signal_number in (signal.SIGHUP, *_TERMINATION_SIGNALS):
            signal.signal(signal_number, signal.SIG_IGN)

    def clear_reload_request(self) -> None:
        """Clear a pending reload request, because the configuration is about to be read anyway."""
        self._is_reload_requested = False

    def end_startup(self) -> bool:
        """Note that the service handles signals from now on; return whether a reload request is pending."""
        self._is_starting = False
        return self._is_reload_requested


early_signals = EarlySignals()
