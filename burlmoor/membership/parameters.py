"""The parameters of the membership protocol: intervals, timeouts and fan-outs."""

from __future__ import annotations

from typing import NamedTuple


class ProtocolParameters(NamedTuple):
    """Durations in seconds; other values are counts and factors.

    With the defaults, a crashed member is probed within one protocol period by one of its predecessors in the
    hash ring, suspected 0.9 s later and declared dead when the suspicion times out; all nodes learn of it
    within a few gossip rounds. That takes at most 1 s to the probe, 0.9 s to its failure,
    3.2 s (`min_suspicion_timeout` times `max_suspicion_multiplier`) to the end of the suspicion and 0.8 s of
    gossip, so less than 6 s. A process that was
    suspended for 3 s is not declared dead, since that takes at least 0.9 + 2.7 s.
    """

    protocol_period: float = 1.0  # in each, `ring_successors` members and a random one are probed
    ring_successors: int = 3
    ping_timeout: float = 0.3  # from a ping until ping requests are sent
    probe_timeout: float = 0.9  # from a ping until the probe has failed
    ping_request_fanout: int = 3  # members that receive a ping request
    min_suspicion_timeout: float = 2.7
    max_suspicion_multiplier: float = (
        1.2  # of `min_suspicion_timeout`; an upper bound, for no suspecting node
    )
    gossip_interval: float = 0.25
    gossip_fanout: int = 2  # recipients in one round
    max_gossip_burst: int = 4  # datagrams to each recipient in one round
    retransmit_multiplier: float = 3.0  # transmissions of a state, per log2 of the cluster size
    sync_interval: float = 2.0  # minimum time between two full state exchanges
    suspension_threshold: float = 2.0  # after a longer pause between calls, the process counts as suspended
    dead_retention: float = 120.0  # until members that are dead or have left are removed


DEFAULT_PARAMETERS = ProtocolParameters()
