"""Runs a case: its record, its temporary folder, its nodes, and its exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from standins_2.node import CaseError, Node
from standins_2.record import Record

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# `run.sh` turns these into its own; an error of Python itself ends with 1, which must not count as a result.
HELD, BROKEN, NOT_RUN = 0, 3, 2
_TIME_LIMIT_SECONDS = 110.0


class Case:
    """What a case uses: `record`, `folder` for temporary files, and `has_trouble`, from TROUBLE."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.nodes: list[Node] = []
        self._folder = folder

    def add_node(self, name: str) -> Node:
        """Return a new node, not started yet, which is ended with the case."""
        node = Node(name, self._folder)
        self.nodes.append(node)
        return node


async def _play(script: Callable[[Case], Awaitable[None]], case: Case) -> None:
    this_task = asyncio.current_task()
    if this_task is not None:  # a case that is told to end, ends its nodes first
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
    try:
        async with asyncio.timeout(_TIME_LIMIT_SECONDS):
            await script(case)
    finally:
        await asyncio.gather(*(node.stop() for node in case.nodes))
        for node in case.nodes:
            for line in node.log_text().splitlines():
                case.record.add("node log", node=node.name, line=line[:400])


def run_case(
    folder: Path,
    script: Callable[[Case], Awaitable[None]],
    find_violations: Callable[[Record], list[str]],
) -> None:
    """Play the script, check its record, print the result, and exit with the case's status."""
    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            asyncio.run(_play(script, Case(record, Path(temporary))))
        violations = find_violations(record)
    except (CaseError, OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    for violation in violations:
        record.add("violation", text=violation)
        print(violation)
    record.close()
    print(f"broken: {len(violations)} violations" if violations else "held")
    sys.exit(BROKEN if violations else HELD)
