"""What a long list costs one node among many: start, memory, CPU while nothing changes, CPU a change.

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

_QUIET, _CHANGES = 10.0, 50


async def _one(folder: Path, executors: int, nodes: int) -> dict[str, float]:
    async with trio.open_nursery() as nursery:
        discovery, names = DiscoveryService(nursery), [f"executor-{n:06d}" for n in range(executors)]
        dials = {name: f"127.1.{n // 250}.{n % 250 + 1}:8081" for n, name in enumerate(names)}
        at = await discovery.listen_for_node("n0", dials)
        for name in names:
            discovery.set_entry(name)
        node = NodeProcess("n0", folder)
        peers = {f"n{n}": f"127.2.{n // 250}.{n % 250 + 1}:9000" for n in range(nodes)}
        node.extra_config = {"peers": peers, "peer_listen": "127.0.0.1:9000", "limits": {"sockets": 1024}}
        began = time.monotonic()
        await node.start(
            nursery, {**platform_settings(JOB_CLASSES, nodes), "Me": 0}, at, discovery.full_list("n0")
        )
        ready = time.monotonic() - began
        process = psutil.Process(node.pid)

        def cpu() -> float:
            times = process.cpu_times()
            return 1000.0 * float(times.user + times.system)

        found = {"start_s": ready, "start_cpu_ms": cpu()}
        await trio.sleep(1.0)
        before = cpu()
        await trio.sleep(_QUIET)
        found["quiet_cpu_ms_a_s"] = (cpu() - before) / _QUIET
        before, since = cpu(), time.monotonic()
        for number in range(_CHANGES):
            discovery.set_entry(names[number % executors], health="leaving" if number % 2 else "active")
            await trio.sleep(0.05)
        found["change_cpu_ms"] = (cpu() - before) / _CHANGES
        found["changes_s"] = time.monotonic() - since
        found["rss_mib"] = process.memory_info().rss / 2.0**20
        found["descriptors"] = process.num_fds()
        await node.stop()
        nursery.cancel_scope.cancel()
    return found


def main() -> None:
    """Print a line of JSON."""
    executors, nodes = (int(each) for each in (*sys.argv[1:], *("1024", "230")[len(sys.argv) - 1 :]))
    with tempfile.TemporaryDirectory() as folder:
        found = trio.run(_one, Path(folder), executors, nodes)
    shown = {name: round(each, 2) for name, each in found.items()}
    print(json.dumps({"executors": executors, "nodes": nodes, **shown}))


if __name__ == "__main__":
    main()
