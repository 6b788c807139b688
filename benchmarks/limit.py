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

from burlmoor.testbed.clients import Clients
from burlmoor.testbed.event_record import Ledger
from burlmoor.testbed.load import Generator, Meter, draw
from burlmoor.testbed.local_cluster import KINDS
from burlmoor.testbed.single_node import own_node, roomy

_EXECUTORS, _RUN_MS = 14, 50.0
_RATES = ("40", "100", "200", "400", "500", "600", "700", "800", "1000", "1200")
_SHOWN = 14


async def _one(rate: float, seconds: float, sampled: bool, folder: Path) -> dict[str, Any]:
    kinds = tuple(kind._replace(work=_RUN_MS) for kind in KINDS)
    profile = folder / "profile.json"
    command = [sys.executable, "-m", "benchmarks.sampled", str(profile)] if sampled else None
    async with own_node(roomy(_EXECUTORS), kinds, folder, command) as node:
        clients = Clients(node.listen, Ledger())
        meter = Meter(node.pid)
        report = await Generator([clients]).run(draw(rate, seconds, kinds, 1))
        meter.read(report)
        clients.close()
    whole = report.total
    row: dict[str, Any] = {
        "offered_per_s": rate,
        "served_per_s": round(whole.outcomes["served"] / seconds, 1),
        **{name: whole.outcomes[name] for name in ("refused", "failed", "no answer")},
        "p50_ms": whole.at(50.0), "p99_ms": whole.at(99.0),
        "cpu_ms_a_job": round(report.cpu_ms / max(1, whole.asked), 3),
        "generator_behind_ms": round(report.behind_ms, 1),
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
