"""Spreads member states: piggybacked on every message, in gossip rounds and in full state exchanges.

Every message carries the most urgent states and a digest of the sender's table; each state is sent a bounded
number of times. If the digests of two nodes differ when there is nothing left to gossip, the nodes exchange
all states. Without that exchange, partitions that have declared each other dead would never converge.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.membership.codec import Message, MessageKind, encode, split_into_messages
from burlmoor.membership.member import Address, MemberState, MemberStatus

if TYPE_CHECKING:
    import random

    from burlmoor.membership.gossip_queue import GossipQueue
    from burlmoor.membership.member_table import MemberTable
    from burlmoor.membership.parameters import ProtocolParameters

_STATES_PER_DATAGRAM = 10  # approximate number that fits


class Datagram(NamedTuple):
    """A message and its destination."""

    destination: Address
    message: Message


class Dissemination:
    """Composes all messages, and decides when to gossip and when to exchange all states."""

    def __init__(
        self,
        table: MemberTable,
        gossip_queue: GossipQueue,
        rng: random.Random,
        parameters: ProtocolParameters,
    ) -> None:
        self.next_gossip_at = -math.inf
        self._table = table
        self._gossip_queue = gossip_queue
        self._rng = rng
        self._parameters = parameters
        self._next_sync_at = -math.inf
        self._sync_peer: Address | None = None  # the latest sender whose digest differed from this node's

    def compose(
        self, name: str, kind: MessageKind, sequence_number: int = 0, node_to_ping: str = ""
    ) -> Datagram:
        """Compose a message to a node.

        If this node believes the recipient suspect, dead or left, include that state, so that the recipient
        can refute it.
        """
        state = self._table.remote.get(name)
        state_to_refute = state if state is not None and state.status is not MemberStatus.ALIVE else None
        return self._compose(
            self._table.address_of(name), kind, sequence_number, node_to_ping, state_to_refute
        )

    def compose_reply(
        self, address: Address, kind: MessageKind, sequence_number: int, requester: MemberState
    ) -> Datagram:
        """Compose a reply. If this node knows a state of the requester that takes precedence, include it."""
        known_state = self._table.remote.get(requester.name)
        newer_state = known_state if known_state and known_state.precedence > requester.precedence else None
        return self._compose(address, kind, sequence_number, "", newer_state)

    def _compose(
        self,
        destination: Address,
        kind: MessageKind,
        sequence_number: int,
        node_to_ping: str,
        recipient_state: MemberState | None,
    ) -> Datagram:
        """Compose a message from this node's own state, the recipient's state and the most urgent states."""
        states = [self._table.local.state]
        if recipient_state is not None:
            states.append(recipient_state)
        states += self._select_gossip(recipient_state)
        message = Message(kind, sequence_number, self._table.digest(), tuple(states), node_to_ping)
        _, fitting_count = encode(message)
        sent = tuple(states[:fitting_count])
        self._gossip_queue.record_transmissions(state.name for state in sent)
        self._gossip_queue.discard_finished(self._max_transmissions(), self._table.is_known)
        return Datagram(destination, message._replace(states=sent))

    def _select_gossip(self, excluding: MemberState | None) -> list[MemberState]:
        remote = self._table.remote
        # Two more, since this node's own state and the excluded one may be among them.
        names = self._gossip_queue.select_most_urgent(_STATES_PER_DATAGRAM + 2, self._table.state_of)
        return [remote[name] for name in names if name in remote and remote[name] is not excluding]

    def _max_transmissions(self) -> float:
        return self._parameters.retransmit_multiplier * math.log2(len(self._table.remote) + 2.0)

    def gossip_if_due(self, now: float) -> list[Datagram]:
        """Run a gossip round if one is due.

        With nothing to gossip, send all states to a peer whose digest differed, if there is one.
        """
        if now < self.next_gossip_at:
            return []
        self.next_gossip_at = now + self._parameters.gossip_interval
        if self._gossip_queue:
            return self._gossip_round()
        if self._sync_peer is not None and now >= self._next_sync_at:
            self._next_sync_at = now + self._parameters.sync_interval
            datagrams = self._compose_full_state(MessageKind.SYNC, self._sync_peer)
            self._sync_peer = None
            return datagrams
        return []

    def _gossip_round(self) -> list[Datagram]:
        parameters = self._parameters
        # Many queued states, as when a whole cluster starts, need several datagrams for each recipient.
        datagrams_per_recipient = min(
            parameters.max_gossip_burst, 1 + len(self._gossip_queue) // _STATES_PER_DATAGRAM
        )
        datagrams: list[Datagram] = []
        for name in self._table.sample_members(self._rng, parameters.gossip_fanout):
            datagrams += [self.compose(name, MessageKind.GOSSIP) for _ in range(datagrams_per_recipient)]
        return datagrams

    def announce_leave(self, fanout: int) -> list[Datagram]:
        """Notify `fanout` random members that this node is shutting down; gossip spreads it to the others."""
        self._table.leave()
        names = self._table.sample_members(self._rng, fanout)
        return [self.compose(name, MessageKind.GOSSIP) for name in names]

    def on_sync(self, source: Address, now: float) -> list[Datagram]:
        """Respond to a `SYNC` with all states, unless the latest exchange was within the sync interval."""
        if now < self._next_sync_at:
            return []
        self._next_sync_at = now + self._parameters.sync_interval
        return self._compose_full_state(MessageKind.GOSSIP, source)

    def on_digest(self, digest: int, source: Address) -> None:
        """Remember the sender for a full state exchange if its digest differs from this node's."""
        if digest != self._table.digest():
            self._sync_peer = source

    def _compose_full_state(self, kind: MessageKind, destination: Address) -> list[Datagram]:
        table = self._table
        states = list(table.remote.values())
        messages = split_into_messages(kind, 0, table.digest(), table.local.state, states)
        return [Datagram(destination, message) for message in messages]
