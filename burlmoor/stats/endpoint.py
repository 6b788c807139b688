"""What one node knows of one endpoint."""

from __future__ import annotations

import math
from collections import defaultdict
from zlib import crc32

from burlmoor.stats.decayed_mean import DecayedMean
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState

FIRST_ROOM = 4.0  # own slots at an executor before its starts tell more: with few, a new node queues up


class Endpoint:
    """What one node knows of one executor."""

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.id, self.zone, self.kind = entry.endpoint, entry.zone, entry.kind
        self.weight = max(entry.weight, 1e-3)
        self.mark, self.live = crc32(entry.endpoint.encode()), entry.state is EndpointState.LIVE
        self.slots = self.memory = 0.0  # held by own attempts
        # Own slots that may be out: prompt starts raise it, late ones lower it.
        self.room = max(FIRST_ROOM, self.weight)
        self.heard = -math.inf  # when it last told of a start or progress, or served
        self.faults, self.test_at = 0, -math.inf  # faults in a row; when it may be tested
        self.overdue = 0  # own attempts that should have started by now
        self.slow, self.clean, self.delay, self.value = (
            DecayedMean(),
            DecayedMean(),
            DecayedMean(),
            DecayedMean(),
        )
        self.cells: dict[int, DecayedMean] = defaultdict(DecayedMean)
        self.keys: dict[str, float] = {}
        # While it is cold: this node's place in its order of all nodes; what it may send, in mean jobs.
        self.turn, self.credit, self.credit_at = 0, 1.0, 0.0
