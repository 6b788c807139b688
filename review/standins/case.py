"""Runs a case and exits with its status: 0 the rule held, 1 it was broken, 2 the case couldn't run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from standins.discovery import Discovery
from standins.executor import Executor
from standins.node import Node
from standins.record import Record

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from standins.executor import Attempt

_TIME_LIMIT_SECONDS = 110.0
_HELD, _BROKEN, _COULD_NOT_RUN = 0, 1, 2


class CaseError(RuntimeError):
    """The run shows nothing, since a stand-in or the machine did not do what the case needs."""


class Case:
    """The node and the stand-ins of one run; `has_trouble` is whether the disruption is played."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.discovery = Discovery(record)
        self.node = Node(record, self.discovery, folder)
        self.executors: list[Executor] = []
        record.write(f"the disruption is {'on' if self.has_trouble else 'off'}")

    async def start_stand_ins(self, executor_count: int, take: Callable[[Attempt], bytes | None]) -> None:
        """Start discovery and executors that are long warm; `take` decides what becomes of attempts."""
        await self.discovery.start()
        for number in range(executor_count):
            executor = Executor(f"s-{number}", self.record, take)
            executor.callback_address = self.node.address
            await executor.start()
            self.executors.append(executor)
            self.discovery.set_entry(executor.name, dial=executor.dial)

    def attempts(self) -> list[Attempt]:
        """Return all attempts that arrived at executors, in their order."""
        attempts = [attempt for executor in self.executors for attempt in executor.attempts]
        return sorted(attempts, key=lambda attempt: attempt.arrived_at)

    def close(self) -> None:
        """End the node and all stand-ins."""
        self.node.kill()
        for executor in self.executors:
            executor.close()
        self.discovery.close()


async def _run(record: Record, play: Callable[[Case], Coroutine[None, None, list[str]]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        case = Case(record, Path(folder))
        try:
            async with asyncio.timeout(_TIME_LIMIT_SECONDS):
                breaks = await play(case)
        finally:
            case.close()
    for text in breaks:
        record.write(f"BROKEN: {text}")
    record.write(f"the rule {'was broken' if breaks else 'held'}: {len(breaks)} breaks")
    return _BROKEN if breaks else _HELD


def run_case(folder: Path, play: Callable[[Case], Coroutine[None, None, list[str]]]) -> None:
    """Run `play`, which returns what broke the rule, and exit with the status of the case."""
    try:
        status = asyncio.run(_run(Record(folder / "record.txt"), play))
    except BaseException:  # noqa: BLE001 - whatever it is, the case couldn't run
        traceback.print_exc()
        status = _COULD_NOT_RUN
    sys.exit(status)
