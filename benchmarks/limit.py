"""Measures the throughput of one node on one core under an open-loop load.

    python -m benchmarks.limit [SECONDS] [RATE...]

The executors are unbounded, run in other processes and take 50 ms per job. Prints a line of JSON for each
rate, in jobs per second. A rate with the suffix `p` (as `40p`) also runs the node under a sampling profiler
and prints the fraction of its CPU time by function; its CPU time per job then includes the sampling.
"""

from __future__ import annotations

import json
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import Any

import trio

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.event_record import EventRecord
from burlmoor.testbed.job_classes import JOB_CLASSES
from burlmoor.testbed.load import JobOutcome, LoadGenerator, LoadReport, ProcessMeter, draw_arrivals
from burlmoor.testbed.node_process import NODE_COMMAND
from burlmoor.testbed.single_node import run_single_node, unbounded_executor_specs

_EXECUTOR_COUNT = 14
_JOB_WORK_MS = 50.0
_RATES = ("40", "100", "200", "400", "500", "600", "700", "800", "1000", "1200")
_PRINTED_FUNCTION_COUNT = 14
_UNSERVED = (JobOutcome.REJECTED, JobOutcome.FAILED, JobOutcome.NO_ANSWER)


async def _measure(rate: float, seconds: float, folder: Path, *, is_sampled: bool) -> dict[str, Any]:
    job_classes = tuple(job_class._replace(mean_work_ms=_JOB_WORK_MS) for job_class in JOB_CLASSES)
    profile_path = folder / "profile.json"
    command = (sys.executable, "-m", "benchmarks.sampled", str(profile_path)) if is_sampled else NODE_COMMAND
    async with run_single_node(
        unbounded_executor_specs(_EXECUTOR_COUNT), job_classes, folder, command
    ) as node:
        clients = ClientPool(node.address, EventRecord())
        meter = ProcessMeter(node.pid)
        report = await LoadGenerator([clients]).run(draw_arrivals(rate, seconds, job_classes, 1))
        report.usage = meter.read()
        clients.close()
    row = _make_row(report, rate, seconds)
    if is_sampled:
        row |= _read_sampled_fractions(profile_path)
    return row


def _make_row(report: LoadReport, rate: float, seconds: float) -> dict[str, Any]:
    tally = report.all_classes
    return {
        "offered_per_s": rate,
        "served_per_s": round(tally.outcomes[JobOutcome.SERVED] / seconds, 1),
        **{outcome: tally.outcomes[outcome] for outcome in _UNSERVED},
        "p50_ms": tally.latency_percentile_ms(50.0),
        "p99_ms": tally.latency_percentile_ms(99.0),
        "cpu_ms_a_job": round(report.cpu_ms_per_job, 3),
        "generator_behind_ms": round(report.max_lag_ms, 1),
    }


def _read_sampled_fractions(profile_path: Path) -> dict[str, dict[str, float]]:
    profile = json.loads(profile_path.read_text())
    return {
        key: {
            name: round(count / profile["samples"], 3)
            for name, count in profile[key][:_PRINTED_FUNCTION_COUNT]
        }
        for key in ("own", "with_callees")
    }


def main() -> None:
    """Print a line of JSON for each rate."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 8.0
    for rate in sys.argv[2:] or _RATES:
        is_sampled = rate.endswith("p")
        with tempfile.TemporaryDirectory(prefix="burlmoor-") as folder:
            measure = partial(_measure, is_sampled=is_sampled)
            row = trio.run(measure, float(rate.rstrip("p")), seconds, Path(folder))
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
