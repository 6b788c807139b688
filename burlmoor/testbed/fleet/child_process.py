"""Processes that end together with the one that started them, whatever that one ends with.

The kernel is asked for it before the program starts (Linux, prctl(2), PR_SET_PDEATHSIG). Without this,
SIGKILL of the parent would leave its children running.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

import msgspec
import trio

from burlmoor.errors import BurlmoorError

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence
    from pathlib import Path

# Runs before the program, in its process. The parent may have died before prctl took effect, hence the check.
_BOOTSTRAP = (
    "import ctypes, os, sys\n"
    "ctypes.CDLL(None).prctl(1, 9, 0, 0, 0)\n"
    "os.getppid() == int(sys.argv[1]) or os._exit(1)\n"
    "sys.argv[2] and os.sched_setaffinity(0, {int(core) for core in sys.argv[2].split(',')})\n"
    "os.execv(sys.argv[3], sys.argv[3:])\n"
)
_CHUNK_BYTES = 4096
_KILL_SECONDS = 5.0  # until a process that got SIGKILL must be over


class ProcessError(BurlmoorError, RuntimeError):
    """A process of a run that did not do its part, with the end of what it logged."""

    def __init__(self, process: str, reason: str, log: str = "") -> None:
        super().__init__(f"{process} {reason}\n{log}".rstrip())
        self.process = process
        self.reason = reason
        self.log = log


@contextmanager
def _ignored_by_children(number: signal.Signals) -> Iterator[None]:
    """Let processes that are started in the meantime ignore a signal, from their first moment on.

    So the deploy file has it for SIGHUP. The kernel passes on to a child that a signal is ignored.
    """
    before = signal.signal(number, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(number, before)


class ChildProcess:
    """Owns one Python process, which starts at once.

    Starting and signalling do not block. Only the main thread may start one: the kernel ends the child with
    the thread that started it. `cores` are those that it may run on; empty: all. With `has_pipes` lines of
    JSON go to its standard input and come from its standard output; otherwise its output goes to the log.
    """

    def __init__(
        self,
        arguments: Sequence[str],
        log: Path,
        environment: Mapping[str, str] | None = None,
        *,
        has_pipes: bool = False,
        cores: frozenset[int] = frozenset(),
    ) -> None:
        core_list = ",".join(map(str, sorted(cores)))
        bootstrap = [sys.executable, "-I", "-S", "-c", _BOOTSTRAP, str(os.getpid()), core_list]
        with log.open("ab") as log_file, _ignored_by_children(signal.SIGHUP):
            self._process = subprocess.Popen(
                [*bootstrap, sys.executable, *arguments],
                stdin=subprocess.PIPE if has_pipes else subprocess.DEVNULL,
                stdout=subprocess.PIPE if has_pipes else log_file,
                stderr=log_file,
                env=environment,
                start_new_session=True,
            )
        self.pid = self._process.pid

    def send_line(self, message: object) -> None:
        """Write one line of JSON to its input; nothing happens where the process has ended."""
        assert self._process.stdin is not None
        with suppress(OSError):
            self._process.stdin.write(msgspec.json.encode(message) + b"\n")
            self._process.stdin.flush()

    async def wait_for_line(self, timeout_seconds: float) -> bool:
        """Wait for its next line of output; whether it came in time."""
        assert self._process.stdout is not None
        descriptor = self._process.stdout.fileno()
        line = b""
        with trio.move_on_after(timeout_seconds):
            while not line.endswith(b"\n"):
                await trio.lowlevel.wait_readable(descriptor)
                data = os.read(descriptor, _CHUNK_BYTES)
                if not data:
                    return False
                line += data
            return True
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it still runs."""
        if self.is_running:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Its exit status; below zero the signal that ended it; None while it runs."""
        return self._process.poll()

    async def wait_until_ended(self, timeout_seconds: float) -> bool:
        """Wait for its end; whether it came in time."""
        if self.is_running:
            descriptor = os.pidfd_open(self.pid)  # readable when the process ends
            try:
                with trio.move_on_after(timeout_seconds):
                    await trio.lowlevel.wait_readable(descriptor)
            finally:
                os.close(descriptor)
        return not self.is_running

    async def kill(self) -> None:
        """Kill it if it still runs, wait for its end and close its pipes; not interrupted by cancellation."""
        self.send_signal(signal.SIGKILL)
        with trio.CancelScope(shield=True):
            await self.wait_until_ended(_KILL_SECONDS)
        for pipe in (self._process.stdin, self._process.stdout):
            if pipe is not None:
                with suppress(OSError):
                    pipe.close()
