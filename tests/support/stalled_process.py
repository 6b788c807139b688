"""Stalls a node's process: it does not run, while the kernel continues to accept connections and bytes."""

from __future__ import annotations

import signal
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from tests.support.polling import poll_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burlmoor.testbed.node_process import NodeProcess


def process_state(pid: int) -> str:
    """Return the letter with which the kernel denotes the state of a process."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


async def stop_process(node: NodeProcess) -> None:
    """Stop the process and wait until it has stopped, because the signal takes effect with a delay."""
    node.send_signal(signal.SIGSTOP)

    async def is_stopped() -> bool:
        return process_state(node.pid) == "T"

    await poll_until(is_stopped)


@asynccontextmanager
async def stalled(node: NodeProcess) -> AsyncIterator[None]:
    """Stop the process until the context ends."""
    await stop_process(node)
    try:
        yield
    finally:
        node.send_signal(signal.SIGCONT)
