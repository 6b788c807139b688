"""Cluster membership by SWIM with Lifeguard's additions, as a pure state machine.

Sources: SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2018). The parts:

- `failure_detector`: pings members; a member that does not acknowledge is pinged by others on request, and
then
  suspected
- `suspicion`: a suspected member may refute the suspicion by a higher incarnation; otherwise it is declared
  dead, the sooner the more nodes confirm the suspicion
- `member_table`, `local_member`: the states of all members, and of this node, merged by precedence
- `dissemination`: states piggybacked on every message, gossip rounds and full state exchanges
- `local_health`: a node that seems slow itself stretches its own timeouts

The caller passes messages and the time in seconds, and sends the datagrams that are returned.
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
    """The membership protocol of one node. Nodes that are not `configured` are discovered by gossip."""

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
        others = {other: where for other, where in configured.items() if other != name}
        gossip_queue = GossipQueue()
        self.health = LocalHealth()
        self._parameters = parameters
        self._suspicions = SuspicionTimers(parameters)
        self._table = MemberTable(LocalMember(state, self.health), others, self._suspicions, gossip_queue)
        self._dissemination = Dissemination(self._table, gossip_queue, rng, parameters)
        self._detector = FailureDetector(self._table, self._dissemination, self.health, rng, parameters)
        self._last_called_at: float | None = None

    # --- reading --------------------------------------------------------------------------------

    @property
    def local(self) -> MemberState:
        """This node's own state."""
        return self._table.local.state

    @property
    def is_name_contested(self) -> bool:
        """Whether another process repeatedly claims this node's name."""
        return self._table.local.is_name_contested

    def view(self, now: float) -> MembershipView:
        """Return the current view."""
        table = self._table
        members = {**table.remote, self.local.name: self.local}
        is_current = self._detector.has_recent_ack(now) or not table.configured
        return MembershipView(table.version, self.local, members, len(table.configured) + 1, is_current)

    def digest(self) -> int:
        """Return a checksum of the view, equal at two nodes if their views are."""
        return self._table.digest()

    def next_step_at(self) -> float:
        """Return when `step` is to be called next."""
        return min(self._detector.next_probe_at, self._dissemination.next_gossip_at)

    # --- events ---------------------------------------------------------------------------------

    def step(self, now: float) -> list[Datagram]:
        """Handle all timeouts that have expired; probe and gossip if due."""
        self._check_suspension(now)
        datagrams = self._detector.check_timeouts(now)
        for name in self._suspicions.find_expired(now):
            self._table.declare_dead(name, now)
        self._table.remove_gone(now, self._parameters.dead_retention)
        datagrams += self._detector.probe_if_due(now)
        datagrams += self._dissemination.gossip_if_due(now)
        return datagrams

    def on_message(self, message: Message, source: Address, now: float) -> list[Datagram]:
        """Merge the states of a received message, and respond to it."""
        self._check_suspension(now)
        sender = message.sender
        if sender.name == self.local.name and sender.process_precedence == self.local.process_precedence:
            return []  # a message of this process itself
        for state in message.members:
            self._table.merge(state, sender.name, now)
        datagrams = self._respond(message, source, now)
        self._dissemination.on_digest(message.digest, source)
        return datagrams

    def leave(self) -> list[Datagram]:
        """Announce that this node shuts down."""
        return self._dissemination.announce_leave(2 * self._parameters.ping_request_fanout)

    def _respond(self, message: Message, source: Address, now: float) -> list[Datagram]:
        match message.kind:
            case MessageKind.PING:
                reply = self._dissemination.compose_reply(
                    source, MessageKind.ACK, message.sequence_number, message.sender
                )
                return [reply]
            case MessageKind.ACK:
                return self._detector.on_ack(message, now)
            case MessageKind.PING_REQUEST:
                return self._detector.on_ping_request(message, source, now)
            case MessageKind.GOSSIP:
                self._detector.on_helper_response(message.sequence_number)
                return []
            case MessageKind.SYNC:
                return self._dissemination.on_sync(source, now)

    def _check_suspension(self, now: float) -> None:
        """Detect by a long pause between two calls that this process was suspended.

        Without this, the node would suspect members whose messages it missed, and rely on a view that is out
        of date: the node may have been declared dead meanwhile.
        """
        previous = self._last_called_at
        self._last_called_at = now
        if previous is None or now <= previous + self._parameters.suspension_threshold:
            return
        self._detector.on_suspension(now)
        self._suspicions.restart_all(now)
        self.health.degrade()
