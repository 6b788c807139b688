"""What one node bears on one core: open loop, stand-ins with room for all in other processes, 50 ms a job.

    python -m benchmarks.limit [SECONDS] [RATE...]

A line of JSON a rate. Where a rate is written with a `p` (as `40p`), the node samples itself, and the line
has the shares of its CPU by function; its CPU a job then holds the sampling too.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import trio

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.event_record import EventRecord
from burlmoor.testbed.job_classes import JOB_CLASSES
from burlmoor.testbed.load import LoadGenerator, ProcessMeter, draw_arrivals
from burlmoor.testbed.single_node import run_single_node, unbounded_executor_specs

_EXECUTORS, _RUN_MS = 14, 50.0
_RATES = ("40", "100", "200", "400", "500", "600", "700", "800", "1000", "1200")
_SHOWN = 14


async def _one(rate: float, seconds: float, sampled: bool, folder: Path) -> dict[str, Any]:
    kinds = tuple(kind._replace(mean_work_ms=_RUN_MS) for kind in JOB_CLASSES)
    profile = folder / "profile.json"
    command = [sys.executable, "-m", "benchmarks.sampled", str(profile)] if sampled else None
    async with run_single_node(unbounded_executor_specs(_EXECUTORS), kinds, folder, command) as node:
        clients = ClientPool(node.address, EventRecord())
        meter = ProcessMeter(node.pid)
        report = await LoadGenerator([clients]).run(draw_arrivals(rate, seconds, kinds, 1))
        meter.read_into(report)
        clients.close()
    whole = report.all_classes
    row: dict[str, Any] = {
        "offered_per_s": rate,
        "served_per_s": round(whole.outcomes["served"] / seconds, 1),
        **{name: whole.outcomes[name] for name in ("refused", "failed", "no answer")},
        "p50_ms": whole.latency_percentile_ms(50.0), "p99_ms": whole.latency_percentile_ms(99.0),
        "cpu_ms_a_job": round(report.cpu_ms / max(1, whole.job_count), 3),
        "generator_behind_ms": round(report.max_lag_ms, 1),
    }  # fmt: skip
    if sampled:
        told = json.loads(profile.read_text())
        for sort in ("own", "with_callees"):
            row[sort] = {name: round(count / told["samples"], 3) for name, count in told[sort][:_SHOWN]}
    return row


def main() -> None:
    """Print a line of JSON a rate."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 8.0
    for rate in sys.argv[2:] or _RATES:
        with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
            row = trio.run(_one, float(rate.rstrip("p")), seconds, rate.endswith("p"), Path(folder))
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
