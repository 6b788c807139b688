"""Measures the membership protocol in virtual time.

For each cluster size: the time to converge, false death declarations, bytes sent and CPU time.

python -m benchmarks.membership [NODES ...]
"""

from __future__ import annotations

import json
import sys
import time

from burlmoor.simulation.gossip import GossipSimulation

_IDLE_SECONDS = 20.0


def _measure(nodes: int) -> dict[str, float]:
    cpu_seconds_before = time.process_time()
    simulation = GossipSimulation(nodes, 21, loss=0.02)
    figures = {"start_s": simulation.run_until_converged(30.0)}
    simulation.run(simulation.now + 20.0)
    simulation.sent_bytes = 0
    idle_started_at = simulation.now
    simulation.run(simulation.now + _IDLE_SECONDS)
    figures["bytes_a_node_s"] = simulation.sent_bytes / nodes / (simulation.now - idle_started_at)
    figures["false_alarms"] = len(simulation.death_declarations)
    crashed = list(simulation.running)[:: max(2, min(3, nodes))]
    simulation.crash(crashed)
    figures["third_killed_s"] = simulation.run_until_converged(30.0)
    for name in crashed:
        simulation.start(name, 200)
    figures["back_s"] = simulation.run_until_converged(30.0)
    figures["cpu_ms_a_node_s"] = 1000.0 * (time.process_time() - cpu_seconds_before) / nodes / simulation.now
    return figures


def main() -> None:
    """Print one line of JSON for each cluster size."""
    for nodes in [int(argument) for argument in sys.argv[1:]] or [3, 30, 100, 200]:
        print(
            json.dumps(
                {"nodes": nodes, **{name: round(figure, 2) for name, figure in _measure(nodes).items()}}
            )
        )


if __name__ == "__main__":
    main()
