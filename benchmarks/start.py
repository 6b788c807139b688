"""Measures the start of a node, plain and with `[waiting]`: CPU time and peak memory until it is ready.

python -m benchmarks.start [TIMES]
"""

from __future__ import annotations

import json
import statistics
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import psutil
import trio

from burlmoor.testbed.local_cluster import executor_specs, local_cluster

_DEFAULT_STARTS = 7


class _StartCost(NamedTuple):
    cpu_ms: float
    peak_mib: float


async def _measure(folder: Path, options: str | None) -> _StartCost:
    async with local_cluster(folder, executor_specs(2), options=options) as cluster:
        return _read_cost(cluster.nodes[0].pid)


def _read_cost(pid: int) -> _StartCost:
    cpu_times = psutil.Process(pid).cpu_times()
    status = Path(f"/proc/{pid}/status").read_text()
    peak_kib = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    return _StartCost(1000.0 * float(cpu_times.user + cpu_times.system), peak_kib / 1024.0)


def main() -> None:
    """Print a line of JSON for each configuration."""
    starts = int(sys.argv[1]) if len(sys.argv) > 1 else _DEFAULT_STARTS
    for name, options in (("plain", None), ("waiting", "[waiting]\n")):
        costs = []
        for _ in range(starts):
            with tempfile.TemporaryDirectory() as folder:
                costs.append(trio.run(_measure, Path(folder), options))
        cpu_ms = statistics.median(cost.cpu_ms for cost in costs)
        peak_mib = statistics.median(cost.peak_mib for cost in costs)
        row = {
            "start": name,
            "times": starts,
            "cpu_ms": round(cpu_ms, 1),
            "peak_mib": round(peak_mib, 1),
        }
        print(json.dumps(row))


if __name__ == "__main__":
    main()
