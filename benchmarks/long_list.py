"""Measures what a long endpoint list costs one node of many: start, memory, idle CPU, CPU per change.

python -m benchmarks.long_list [EXECUTORS [NODES]]
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from pathlib import Path

import psutil
import trio

from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.job_classes import JOB_CLASSES, platform_settings
from burlmoor.testbed.node_process import NodeProcess

_SETTLE_SECONDS = 1.0
_IDLE_SECONDS = 10.0
_CHANGE_COUNT = 50
_CHANGE_INTERVAL_SECONDS = 0.05
_HOSTS_PER_SUBNET = 250
_EXECUTOR_NETWORK, _NODE_NETWORK = 1, 2  # the second byte of the addresses
_EXECUTOR_PORT = 8081
_PEER_PORT = 9000
_SOCKET_LIMIT = 1024  # of the node
_DEFAULT_SIZES = (1024, 230)  # executors, nodes


def _make_address(network: int, number: int, port: int) -> str:
    return f"127.{network}.{number // _HOSTS_PER_SUBNET}.{number % _HOSTS_PER_SUBNET + 1}:{port}"


def _peer_config(nodes: int) -> dict[str, object]:
    peers = {f"n{number}": _make_address(_NODE_NETWORK, number, _PEER_PORT) for number in range(nodes)}
    return {
        "peers": peers,
        "peer_listen": f"127.0.0.1:{_PEER_PORT}",
        "limits": {"sockets": _SOCKET_LIMIT},
    }


async def _measure(folder: Path, executors: int, nodes: int) -> dict[str, float]:
    async with trio.open_nursery() as nursery:
        discovery = DiscoveryService(nursery)
        names = [f"executor-{number:06d}" for number in range(executors)]
        addresses = {
            name: _make_address(_EXECUTOR_NETWORK, number, _EXECUTOR_PORT)
            for number, name in enumerate(names)
        }
        discovery_address = await discovery.listen_for_node("n0", addresses)
        for name in names:
            discovery.set_entry(name)
        node = NodeProcess("n0", folder, extra_config=_peer_config(nodes))
        settings = {**platform_settings(JOB_CLASSES, nodes), "Me": 0}
        started_at = time.monotonic()
        await node.start(nursery, settings, discovery_address, discovery.full_list("n0"))
        start_seconds = time.monotonic() - started_at
        figures = await _measure_running(node, discovery, names)
        await node.stop()
        nursery.cancel_scope.cancel()
    return {"start_s": start_seconds, **figures}


async def _measure_running(
    node: NodeProcess, discovery: DiscoveryService, names: list[str]
) -> dict[str, float]:
    process = psutil.Process(node.pid)
    figures = {"start_cpu_ms": _cpu_ms(process)}
    await trio.sleep(_SETTLE_SECONDS)
    cpu_before_ms = _cpu_ms(process)
    await trio.sleep(_IDLE_SECONDS)
    figures["quiet_cpu_ms_a_s"] = (_cpu_ms(process) - cpu_before_ms) / _IDLE_SECONDS
    cpu_before_ms = _cpu_ms(process)
    started_at = time.monotonic()
    for number in range(_CHANGE_COUNT):
        discovery.set_entry(names[number % len(names)], health="leaving" if number % 2 else "active")
        await trio.sleep(_CHANGE_INTERVAL_SECONDS)
    figures["change_cpu_ms"] = (_cpu_ms(process) - cpu_before_ms) / _CHANGE_COUNT
    figures["changes_s"] = time.monotonic() - started_at
    figures["rss_mib"] = process.memory_info().rss / 2.0**20
    figures["descriptors"] = process.num_fds()
    return figures


def _cpu_ms(process: psutil.Process) -> float:
    times = process.cpu_times()
    return 1000.0 * float(times.user + times.system)


def main() -> None:
    """Print the measurements as a line of JSON."""
    sizes = [int(argument) for argument in sys.argv[1:]]
    executors, nodes = [*sizes, *_DEFAULT_SIZES[len(sizes) :]]
    with tempfile.TemporaryDirectory() as folder:
        figures = trio.run(_measure, Path(folder), executors, nodes)
    rounded = {name: round(figure, 2) for name, figure in figures.items()}
    print(json.dumps({"executors": executors, "nodes": nodes, **rounded}))


if __name__ == "__main__":
    main()
