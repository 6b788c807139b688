"""SWIM's failure detector: sends pings and ping requests, and tracks their timeouts."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.membership.codec import Message, MessageKind
from burlmoor.membership.probe_schedule import ProbeSchedule

if TYPE_CHECKING:
    import random

    from burlmoor.membership.dissemination import Datagram, Dissemination
    from burlmoor.membership.local_health import LocalHealth
    from burlmoor.membership.member import Address
    from burlmoor.membership.member_table import MemberTable
    from burlmoor.membership.parameters import ProtocolParameters

_MIN_REJOIN_PROBABILITY = 0.25  # of a ping to an absent node, per protocol period
_MAX_REJOIN_PINGS_ALONE = 3  # per protocol period, while this node knows no other member
_MAX_ACK_AGE_PERIODS = 3.0  # protocol periods without an acknowledgement until the view may be outdated


@dataclass(slots=True)
class PendingProbe:
    """A ping that has not been acknowledged yet."""

    name: str
    ping_times_out_at: float  # when ping requests are sent
    fails_at: float
    has_sent_ping_requests: bool = False
    has_helper_response: bool = False  # whether a recipient of a ping request (a helper) has responded


class RelayedPing(NamedTuple):
    """A ping sent on behalf of another node, which is to receive the acknowledgement."""

    requester: Address
    sequence_number: int  # the requester's
    expires_at: float


class FailureDetector:
    """Probes members, and pings on behalf of other nodes."""

    def __init__(
        self,
        table: MemberTable,
        dissemination: Dissemination,
        health: LocalHealth,
        rng: random.Random,
        parameters: ProtocolParameters,
    ) -> None:
        self.next_probe_at = -math.inf
        self._table = table
        self._dissemination = dissemination
        self._health = health
        self._rng = rng
        self._parameters = parameters
        self._schedule = ProbeSchedule(table, rng, parameters.ring_successors)
        self._sequence_number = rng.randrange(1 << 24)
        self._probes: dict[int, PendingProbe] = {}
        self._relayed_pings: dict[int, RelayedPing] = {}
        self._last_ack_at = -math.inf

    def has_recent_ack(self, now: float) -> bool:
        """Whether another node has acknowledged a ping recently."""
        parameters = self._parameters
        max_age = _MAX_ACK_AGE_PERIODS * parameters.protocol_period * self._health.multiplier
        return now - self._last_ack_at < max_age + parameters.ping_timeout

    def on_suspension(self, now: float) -> None:
        """Discard all probes after a suspension of this process, and make the next probe due immediately.

        Their timeouts prove nothing: acknowledgements may have arrived during the suspension.
        """
        self._probes.clear()
        self._relayed_pings.clear()
        self._last_ack_at = -math.inf
        self.next_probe_at = now

    def check_timeouts(self, now: float) -> list[Datagram]:
        """Send ping requests for pings that have timed out, and suspect members whose probe has failed."""
        datagrams: list[Datagram] = []
        for sequence_number, probe in list(self._probes.items()):
            if now >= probe.fails_at:
                del self._probes[sequence_number]
                datagrams += self._on_probe_failed(probe, now)
            elif now >= probe.ping_times_out_at and not probe.has_sent_ping_requests:
                probe.has_sent_ping_requests = True
                datagrams += self._request_pings(probe.name, sequence_number)
        return datagrams

    def probe_if_due(self, now: float) -> list[Datagram]:
        """If a probe is due, ping the next member and, occasionally, absent nodes."""
        if now < self.next_probe_at:
            return []
        interval = self._parameters.protocol_period * self._health.multiplier
        self.next_probe_at = now + interval / self._schedule.turns_per_period
        datagrams = []
        name = self._schedule.next_member()
        if name is not None:
            datagrams.append(self._start_probe(name, now))
        if self._schedule.is_random_turn:
            datagrams += self._ping_absent()
        return datagrams

    def _start_probe(self, name: str, now: float) -> Datagram:
        parameters = self._parameters
        multiplier = self._health.multiplier
        datagram = self._ping(name)
        self._probes[self._sequence_number] = PendingProbe(
            name,
            ping_times_out_at=now + parameters.ping_timeout * multiplier,
            fails_at=now + parameters.probe_timeout * multiplier,
        )
        return datagram

    def _ping(self, name: str) -> Datagram:
        self._sequence_number += 1
        return self._dissemination.compose(name, MessageKind.PING, self._sequence_number)

    def _ping_absent(self) -> list[Datagram]:
        """Ping absent nodes at random, since they may have returned or may not know of this node yet."""
        absent = self._table.absent_names()
        if not absent:
            return []
        is_alone = not self._table.member_names()
        if not is_alone:
            absent_ratio = len(absent) / (len(self._table.remote) + 1.0)
            if self._rng.random() >= _MIN_REJOIN_PROBABILITY * (1.0 + absent_ratio):
                return []
        count = min(len(absent), _MAX_REJOIN_PINGS_ALONE if is_alone else 1)
        return [self._ping(name) for name in self._rng.sample(absent, count)]

    def _request_pings(self, name: str, sequence_number: int) -> list[Datagram]:
        """Ask other members to ping a member that has not acknowledged this node's ping."""
        helpers = self._table.sample_members(self._rng, self._parameters.ping_request_fanout, excluding=name)
        return [
            self._dissemination.compose(helper, MessageKind.PING_REQUEST, sequence_number, name)
            for helper in helpers
        ]

    def _on_probe_failed(self, probe: PendingProbe, now: float) -> list[Datagram]:
        if not probe.has_helper_response:
            # Lifeguard: if no helper responds either, this node itself may be partitioned or slow.
            self._health.degrade()
        if probe.name not in self._table.remote:
            return []
        self._table.suspect(probe.name, now)
        # Lifeguard's buddy system: notify the suspect first, so that it can refute the suspicion in time.
        return [self._dissemination.compose(probe.name, MessageKind.PING)]

    def on_ack(self, message: Message, now: float) -> list[Datagram]:
        """Complete the acknowledged probe, or relay the acknowledgement to the requester of the ping."""
        self._last_ack_at = now
        if self._probes.pop(message.sequence_number, None) is not None:
            self._health.improve()
        relayed = self._relayed_pings.pop(message.sequence_number, None)
        if relayed is None:
            return []
        reply = self._dissemination.compose_reply(
            relayed.requester, MessageKind.ACK, relayed.sequence_number, message.sender
        )
        return [reply]

    def on_ping_request(self, message: Message, source: Address, now: float) -> list[Datagram]:
        """Ping a member on behalf of another node, and confirm to that node that its request has arrived."""
        if message.node_to_ping not in self._table.remote:
            return []
        self._relayed_pings = {
            number: relayed for number, relayed in self._relayed_pings.items() if relayed.expires_at > now
        }
        expires_at = now + self._parameters.protocol_period
        confirmation = self._dissemination.compose_reply(
            source, MessageKind.GOSSIP, message.sequence_number, message.sender
        )
        ping = self._ping(message.node_to_ping)
        self._relayed_pings[self._sequence_number] = RelayedPing(source, message.sequence_number, expires_at)
        return [confirmation, ping]

    def on_helper_response(self, sequence_number: int) -> None:
        """Record a response to a ping request, which shows that this node itself is not partitioned."""
        probe = self._probes.get(sequence_number)
        if probe is not None:
            probe.has_helper_response = True
