"""Cluster membership by SWIM with Lifeguard's additions, as a pure state machine.

Sources: SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2018). The modules:

- `failure_detector`: pings members; if a member does not acknowledge, asks others to ping it, and then
  suspects it
- `suspicion`: a suspected member may refute the suspicion by a higher incarnation; otherwise it is declared
  dead, and sooner if more nodes confirm the suspicion
- `member_table`, `local_member`: the states of all members, and of this node, merged by precedence
- `dissemination`: states piggybacked on every message, gossip rounds and full state exchanges
- `local_health`: a node that seems to be slow lengthens its own timeouts

The caller passes in messages and the time in seconds, and sends the returned datagrams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.membership.codec import Message, MessageKind
from burlmoor.membership.dissemination import Datagram, Dissemination
from burlmoor.membership.failure_detector import FailureDetector
from burlmoor.membership.gossip_queue import GossipQueue
from burlmoor.membership.local_health import LocalHealth
from burlmoor.membership.local_member import LocalMember
from burlmoor.membership.member import Address, MemberState, MemberStatus
from burlmoor.membership.member_table import MemberTable
from burlmoor.membership.parameters import DEFAULT_PARAMETERS, ProtocolParameters
from burlmoor.membership.suspicion import SuspicionTimers
from burlmoor.membership.view import MembershipView

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping


_NONCE_LIMIT = 0x10000  # exclusive upper bound of nonces, which start at 1


class Membership:
    """The membership protocol of one node. By gossip, it also discovers nodes not in `configured`."""

    def __init__(
        self,
        name: str,
        address: Address,
        configured: Mapping[str, Address],
        generation: int,
        rng: random.Random,
        parameters: ProtocolParameters = DEFAULT_PARAMETERS,
    ) -> None:
        state = MemberState(name, address, generation, rng.randrange(1, _NONCE_LIMIT), 0, MemberStatus.ALIVE)
        others = {other: other_address for other, other_address in configured.items() if other != name}
        gossip_queue = GossipQueue()
        self.health = LocalHealth()
        self._parameters = parameters
        self._suspicions = SuspicionTimers(parameters)
        self._table = MemberTable(LocalMember(state, self.health), others, self._suspicions, gossip_queue)
        self._dissemination = Dissemination(self._table, gossip_queue, rng, parameters)
        self._failure_detector = FailureDetector(
            self._table, self._dissemination, self.health, rng, parameters
        )
        self._last_called_at: float | None = None

    @property
    def local(self) -> MemberState:
        """This node's own state."""
        return self._table.local.state

    @property
    def is_name_contested(self) -> bool:
        """Whether another process repeatedly claims this node's name."""
        return self._table.local.is_name_contested

    def view(self, now: float) -> MembershipView:
        """Return this node's view of the cluster."""
        table = self._table
        members = {**table.remote, self.local.name: self.local}
        is_current = self._failure_detector.has_recent_ack(now) or not table.configured
        return MembershipView(table.version, self.local, members, len(table.configured) + 1, is_current)

    def digest(self) -> int:
        """Return a checksum of the view, the same on two nodes with the same view."""
        return self._table.digest()

    def next_step_at(self) -> float:
        """Return the time at which `step` is to be called next."""
        return min(self._failure_detector.next_probe_at, self._dissemination.next_gossip_at)

    def step(self, now: float) -> list[Datagram]:
        """Handle expired timeouts, and probe and gossip if due."""
        self._check_suspension(now)
        datagrams = self._failure_detector.check_timeouts(now)
        for name in self._suspicions.find_expired(now):
            self._table.declare_dead(name, now)
        self._table.remove_expired(now, self._parameters.dead_retention)
        datagrams += self._failure_detector.probe_if_due(now)
        datagrams += self._dissemination.gossip_if_due(now)
        return datagrams

    def on_message(self, message: Message, source: Address, now: float) -> list[Datagram]:
        """Merge the states in a received message, and respond to it."""
        self._check_suspension(now)
        sender = message.sender
        if sender.name == self.local.name and sender.process_id == self.local.process_id:
            return []  # sent by this process itself
        for state in message.states:
            self._table.merge(state, sender.name, now)
        datagrams = self._respond(message, source, now)
        self._dissemination.on_digest(message.digest, source)
        return datagrams

    def leave(self) -> list[Datagram]:
        """Announce that this node is shutting down."""
        return self._dissemination.announce_leave(2 * self._parameters.ping_request_fanout)

    def _respond(self, message: Message, source: Address, now: float) -> list[Datagram]:
        match message.kind:
            case MessageKind.PING:
                reply = self._dissemination.compose_reply(
                    source, MessageKind.ACK, message.sequence_number, message.sender
                )
                return [reply]
            case MessageKind.ACK:
                return self._failure_detector.on_ack(message, now)
            case MessageKind.PING_REQUEST:
                return self._failure_detector.on_ping_request(message, source, now)
            case MessageKind.GOSSIP:
                self._failure_detector.on_helper_response(message.sequence_number)
                return []
            case MessageKind.SYNC:
                return self._dissemination.on_sync(source, now)

    def _check_suspension(self, now: float) -> None:
        """Treat a long pause between two calls as a suspension of this process.

        Probes are discarded and suspicions start anew, since the node has missed messages of members that are
        alive. Its view counts as outdated, since the node may have been declared dead meanwhile.
        """
        previous_call_at = self._last_called_at
        self._last_called_at = now
        if previous_call_at is None or now <= previous_call_at + self._parameters.suspension_threshold:
            return
        self._failure_detector.on_suspension(now)
        self._suspicions.restart_all(now)
        self.health.degrade()
