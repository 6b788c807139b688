"""The protocol's parameters: intervals, timeouts, fan-outs."""

from __future__ import annotations

from typing import NamedTuple


class ProtocolParameters(NamedTuple):
    """Times in seconds, counts otherwise.

    With the defaults, a crashed member is probed within one protocol period by one of its predecessors in the
    hash ring, found unresponsive 0.9 s later and declared dead when its suspicion times out; all learn of it
    within some gossip rounds: 1 + 0.9 + 3.2 + 0.8, so within 6 s. A process that was suspended for 3 s is not
    declared dead: that takes 0.9 + 2.7 at least.
    """

    protocol_period: float = 1.0  # in which `ring_successors` members are probed, and one at random
    ring_successors: int = 3
    ping_timeout: float = 0.3  # from a ping until ping requests are sent
    probe_timeout: float = 0.9  # from a ping until the probe has failed
    ping_request_fanout: int = 3  # members that are asked to ping on this node's behalf
    min_suspicion_timeout: float = 2.7
    max_suspicion_multiplier: float = 1.2  # times `min_suspicion_timeout` while nobody confirms the suspicion
    gossip_interval: float = 0.25
    gossip_fanout: int = 2  # members that receive gossip in one round
    max_gossip_burst: int = 4  # datagrams to each of them in one round
    retransmit_multiplier: float = 3.0  # times the binary logarithm of the cluster's size, for each state
    sync_interval: float = 2.0  # least time between two full state exchanges
    suspension_threshold: float = 2.0  # a pause between two calls longer than this: the process was suspended
    dead_retention: float = 120.0  # after which members that are dead or have left are removed


DEFAULT_PARAMETERS = ProtocolParameters()
