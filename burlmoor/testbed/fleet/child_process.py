"""Child processes that the kernel kills when their parent ends, however it ends.

Each child sets PR_SET_PDEATHSIG (Linux, prctl(2)) before its program starts. Without it, SIGKILL of the
parent would leave its children running.
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

# Runs in the child before its program. The parent may have died before prctl took effect, hence the check.
_BOOTSTRAP = (
    "import ctypes, os, sys\n"
    "ctypes.CDLL(None).prctl(1, 9, 0, 0, 0)\n"
    "os.getppid() == int(sys.argv[1]) or os._exit(1)\n"
    "sys.argv[2] and os.sched_setaffinity(0, {int(core) for core in sys.argv[2].split(',')})\n"
    "os.execv(sys.argv[3], sys.argv[3:])\n"
)
_CHUNK_BYTES = 4096
_KILL_TIMEOUT_SECONDS = 5.0  # after SIGKILL


class ProcessError(BurlmoorError, RuntimeError):
    """A process of a run failed; carries the end of its log."""

    def __init__(self, process: str, reason: str, log: str = "") -> None:
        super().__init__(f"{process} {reason}\n{log}".rstrip())
        self.process = process
        self.reason = reason
        self.log = log


@contextmanager
def _ignored_by_children(number: signal.Signals) -> Iterator[None]:
    """Ignore a signal in processes that are started in this context, from their start.

    This process ignores the signal meanwhile, and its children inherit that. The deployment file does the
    same for SIGHUP.
    """
    before = signal.signal(number, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(number, before)


class ChildProcess:
    """Owns a Python process, which the constructor starts.

    Starting and signalling do not block. Only the main thread may start one, because the kernel kills the
    child when the thread that started it ends. `cores` are those that the process may use; empty means all.
    With `has_pipes`, its standard input and output are pipes that carry lines of JSON; otherwise its standard
    output goes to the log, as its standard error always does.
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
        """Write a message to its standard input as a line of JSON; does nothing if the process has ended."""
        assert self._process.stdin is not None
        with suppress(OSError):
            self._process.stdin.write(msgspec.json.encode(message) + b"\n")
            self._process.stdin.flush()

    async def wait_for_line(self, timeout_seconds: float) -> bool:
        """Wait for its next line of output; return whether it arrived in time."""
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
        """Send it a signal if it is running."""
        if self.is_running:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Its exit status, or the negated number of the signal that ended it; None while it is running."""
        return self._process.poll()

    async def wait_until_ended(self, timeout_seconds: float) -> bool:
        """Wait for the process to end; return whether it did in time."""
        if self.is_running:
            descriptor = os.pidfd_open(self.pid)  # readable when the process ends
            try:
                with trio.move_on_after(timeout_seconds):
                    await trio.lowlevel.wait_readable(descriptor)
            finally:
                os.close(descriptor)
        return not self.is_running

    async def kill(self) -> None:
        """Kill it if it is running, wait for its end and close its pipes; shielded from cancellation."""
        self.send_signal(signal.SIGKILL)
        with trio.CancelScope(shield=True):
            await self.wait_until_ended(_KILL_TIMEOUT_SECONDS)
        for pipe in (self._process.stdin, self._process.stdout):
            if pipe is not None:
                with suppress(OSError):
                    pipe.close()
