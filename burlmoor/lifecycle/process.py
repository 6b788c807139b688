"""The process of one node: reads the configuration and runs the node until a signal ends it."""

from __future__ import annotations

import gc
import os
import signal
import sys

import trio

from burlmoor.config import node_config
from burlmoor.early_signals import early_signals
from burlmoor.lifecycle.node import Node
from burlmoor.log import EventLog

# One per generation; higher than the defaults, since reference counting frees most objects here.
_GC_THRESHOLDS = (20_000, 20, 20)


async def _serve(config: node_config.NodeConfig, log: EventLog) -> None:
    # Installed before the node listens: an unhandled SIGHUP would end the process and lose all its jobs.
    signals = trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with signals as received_signals:
        async with trio.open_nursery() as nursery:
            node = Node(config, nursery, log)
            node.start()
            if early_signals.end_startup():
                node.reload(os.environ)
            nursery.start_soon(node.handle_signals, received_signals)
            _freeze_startup_objects()


def _freeze_startup_objects() -> None:
    """Exempt all objects created so far from garbage collection, to keep its pauses short."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


def main() -> int:
    """Run the node until a signal ends it; return the exit status."""
    early_signals.install()
    early_signals.clear_reload_request()
    try:
        config = node_config.load_config(os.environ)
    except node_config.InvalidConfigError as error:
        for line in str(error).splitlines():
            print(f"burlmoor: {line}", file=sys.stderr)
        return 2
    status = 0
    try:
        trio.run(_serve, config, EventLog(config.name))
    except* OSError as group:
        print(f"burlmoor: {group.exceptions[0]}", file=sys.stderr)
        status = 1
    early_signals.ignore_all()
    return status
