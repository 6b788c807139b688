"""Processes that end with the one that started them, whatever that one dies of.

The kernel is told before the program starts (Linux, prctl(2), PR_SET_PDEATHSIG), so that even SIGKILL of
the starter leaves nobody over.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import trio

# Run before the program, in its process: asked for first, then looked whether the starter has died meanwhile.
_BOUND = (
    "import ctypes, os, sys\n"
    "ctypes.CDLL(None).prctl(1, 9, 0, 0, 0)\n"
    "os.getppid() == int(sys.argv[1]) or os._exit(1)\n"
    "sys.argv[2] and os.sched_setaffinity(0, {int(core) for core in sys.argv[2].split(',')})\n"
    "os.execv(sys.argv[3], sys.argv[3:])\n"
)


class Child:
    """Owns one process. Starts and signals don't wait; only the main thread may start one.

    `cores` are those that it may run on; none named: any.
    """

    def __init__(
        self,
        command: Sequence[str],
        log: Path,
        environment: dict[str, str] | None = None,
        talks: bool = False,
        cores: frozenset[int] = frozenset(),
    ) -> None:
        bound = [
            sys.executable,
            "-I",
            "-S",
            "-c",
            _BOUND,
            str(os.getpid()),
            ",".join(map(str, sorted(cores))),
        ]
        bound += [sys.executable, *command]
        with log.open("ab") as sink:
            # Not by a thread: the kernel's promise is on the thread that starts it.
            self._process = subprocess.Popen(
                bound,
                stdin=subprocess.PIPE if talks else subprocess.DEVNULL,
                stdout=subprocess.PIPE if talks else sink,
                stderr=sink,
                env=environment,
                start_new_session=True,
            )
        self.pid = self._process.pid

    def tell(self, line: Any) -> None:
        """Write one line of JSON to it; a process that has ended hears nothing."""
        assert self._process.stdin is not None
        with suppress(OSError):
            self._process.stdin.write(msgspec.json.encode(line) + b"\n")
            self._process.stdin.flush()

    async def said(self, within: float) -> bool:
        """Whether it says its next line within so many seconds."""
        assert self._process.stdout is not None
        number = self._process.stdout.fileno()
        line = b""
        with trio.move_on_after(within):
            while not line.endswith(b"\n"):
                await trio.lowlevel.wait_readable(number)
                more = os.read(number, 4096)
                if not more:
                    return False
                line += more
            return True
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it still runs."""
        if self.running:
            self._process.send_signal(number)

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.poll() is None

    @property
    def status(self) -> int | None:
        """Its exit status; below zero the signal that ended it."""
        return self._process.poll()

    async def ended(self, within: float) -> bool:
        """Whether it ends within so many seconds."""
        with trio.move_on_after(within):
            while self.running:
                await trio.sleep(0.02)
            return True
        return not self.running

    async def end(self) -> None:
        """See to it that it is over."""
        self.signal(signal.SIGKILL)
        with trio.CancelScope(shield=True):
            await self.ended(5.0)
        for pipe in (self._process.stdin, self._process.stdout):
            if pipe is not None:
                with suppress(OSError):
                    pipe.close()
