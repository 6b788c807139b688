"""What a start of the node costs: CPU and peak memory until it is ready, with nothing on and with [waiting].

python -m benchmarks.start [TIMES]
"""

from __future__ import annotations

import json
import statistics
import sys
import tempfile
from pathlib import Path

import psutil
import trio

from burlmoor.testbed.local_cluster import executor_specs, local_cluster


async def _one(folder: Path, options: str | None) -> tuple[float, float]:
    async with local_cluster(folder, executor_specs(2), options=options) as made:
        pid = made.nodes[0].pid
        times = psutil.Process(pid).cpu_times()
        status = Path(f"/proc/{pid}/status").read_text()
        peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
        return 1000.0 * float(times.user + times.system), peak / 1024.0


def main() -> None:
    """Print a line of JSON a way to start."""
    times = int(sys.argv[1]) if len(sys.argv) > 1 else 7
    for name, options in (("plain", None), ("waiting", "[waiting]\n")):
        rows = []
        for _ in range(times):
            with tempfile.TemporaryDirectory() as folder:
                rows.append(trio.run(_one, Path(folder), options))
        cpu, peak = (statistics.median(column) for column in zip(*rows, strict=True))
        print(
            json.dumps({"start": name, "times": times, "cpu_ms": round(cpu, 1), "peak_mib": round(peak, 1)})
        )


if __name__ == "__main__":
    main()
