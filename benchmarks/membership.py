"""The view of the fleet in virtual time: how soon it settles, whom it accuses falsely, what it costs.

python -m benchmarks.membership [NODES ...]
"""

from __future__ import annotations

import json
import sys
import time

from burlmoor.simulation.gossip import GossipSimulation

_REST = 20.0


def _one(nodes: int) -> dict[str, float]:
    began = time.process_time()
    town = GossipSimulation(nodes, 21, loss=0.02)
    found = {"start_s": town.until_agreed(30.0)}
    town.run(town.now + 20.0)
    town.bytes, since = 0, town.now
    town.run(town.now + _REST)
    found["bytes_a_node_s"] = town.bytes / nodes / (town.now - since)
    found["false_alarms"] = len(town.alarms)
    dead = list(town.up)[:: max(2, min(3, nodes))]
    town.kill(dead)
    found["third_killed_s"] = town.until_agreed(30.0)
    for name in dead:
        town.start(name, 200)
    found["back_s"] = town.until_agreed(30.0)
    found["cpu_ms_a_node_s"] = 1000.0 * (time.process_time() - began) / nodes / town.now
    return found


def main() -> None:
    """Print a line of JSON a size."""
    for nodes in [int(each) for each in sys.argv[1:]] or [3, 30, 100, 200]:
        print(json.dumps({"nodes": nodes, **{name: round(each, 2) for name, each in _one(nodes).items()}}))


if __name__ == "__main__":
    main()
