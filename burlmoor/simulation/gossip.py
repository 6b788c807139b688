"""Simulates a cluster's membership protocol in virtual time.

Datagrams are delayed, lost, repeated or dropped by a partition; nodes crash and are suspended. Times are
seconds.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from burlmoor.errors import BurlmoorError
from burlmoor.membership.codec import MAX_DATAGRAM_BYTES, decode, encode
from burlmoor.membership.member import Address, MemberStatus
from burlmoor.membership.swim import Membership
from burlmoor.simulation.event_queue import Action, EventQueue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.membership.dissemination import Datagram

MIN_STEP_SECONDS = 0.05  # minimum time between two steps of a node
_POLL_SECONDS = 0.25  # between two checks whether the views have converged
_MAX_FIRST_STEP_SECONDS = 0.25  # after the start of a node
_MIN_DELAY_SECONDS = 0.001  # of a datagram
_PORT = 9000
_HOSTS_PER_SUBNET = 250


class DatagramTooLargeError(BurlmoorError, ValueError):
    """A message has more member states than fit into one datagram."""

    def __init__(self, state_count: int) -> None:
        super().__init__(f"{state_count} states do not fit into {MAX_DATAGRAM_BYTES} bytes")
        self.state_count = state_count


class GossipSimulation:
    """Owns the nodes, the network between them and the clock.

    `loss` is the fraction of datagrams that are lost; a quarter as many are delivered twice. With
    `known_count`, each node is configured with only that many nodes, otherwise with all.
    """

    def __init__(
        self, nodes: int, seed: int, loss: float = 0.0, max_delay: float = 0.02, known_count: int = 0
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.max_delay = max_delay
        self.known_count = known_count
        self.addresses: dict[str, Address] = {f"n{number}": (_host(number), _PORT) for number in range(nodes)}
        self.running: dict[str, Membership] = {}
        self.suspended: dict[str, list[Action]] = {}  # actions held until each suspended node resumes
        # Whether a partition drops the datagrams from a sender to a recipient.
        self.is_cut: Callable[[str, str], bool] = lambda _sender, _recipient: False
        self.sent_bytes = 0
        self.death_declarations: list[tuple[float, str, str]] = []  # time, declaring node, declared member
        self._names_by_address = {address: name for name, address in self.addresses.items()}
        self._events = EventQueue(0.0)
        for name in self.addresses:
            self.start(name)

    @property
    def now(self) -> float:
        """The current virtual time."""
        return self._events.now

    def schedule(self, when: float, action: Action) -> None:
        """Schedule an action for a given time."""
        self._events.schedule(when, action)

    def run(self, until: float) -> None:
        """Run the simulation until a given time."""
        self._events.run(until)

    def run_until_converged(self, limit: float) -> float:
        """Run until all views converge or `limit` seconds have passed; return the seconds taken.

        More than `limit` seconds mean that the views have not converged in time.
        """
        began = self.now
        while not self.has_converged() and self.now < began + limit + 2.0 * _POLL_SECONDS:
            self.run(self.now + _POLL_SECONDS)
        return self.now - began

    def start(self, name: str, generation: int = 100) -> None:
        """Start a node, or restart it."""
        configured = self.addresses
        if self.known_count:
            configured = dict(list(self.addresses.items())[: self.known_count])
        rng = random.Random(self.rng.random())
        node = Membership(name, self.addresses[name], configured, generation, rng)
        self.run_node(name, node, self.now + self.rng.uniform(0.0, _MAX_FIRST_STEP_SECONDS))

    def run_node(self, name: str, node: Membership, first_step_at: float) -> None:
        """Run a node, with its first step at the given time."""
        self.running[name] = node
        self.schedule(first_step_at, lambda: self._step(name, node))

    def crash(self, names: Iterable[str]) -> None:
        """End nodes without notice."""
        for name in names:
            del self.running[name]

    def suspend(self, name: str, duration: float) -> None:
        """Suspend a node's process; its steps and incoming datagrams are held until it resumes."""
        self.suspended[name] = []
        self.schedule(self.now + duration, lambda: self._resume(name))

    def _resume(self, name: str) -> None:
        for action in self.suspended.pop(name):
            action()

    def _step(self, name: str, node: Membership) -> None:
        if self.running.get(name) is not node:
            return
        if name in self.suspended:
            self.suspended[name].append(lambda: self._step(name, node))
            return
        dead_before = self.dead_members(node)
        self.transmit(name, node.step(self.now))
        declared = self.dead_members(node) - dead_before
        self.death_declarations += [(self.now, name, member) for member in declared]
        self.schedule(max(self.now + MIN_STEP_SECONDS, node.next_step_at()), lambda: self._step(name, node))

    def transmit(self, sender: str, datagrams: list[Datagram]) -> None:
        """Send a node's datagrams over the network.

        Raises:
            DatagramTooLargeError: a message does not fit into a datagram.
        """
        for destination, message in datagrams:
            data, count = encode(message)
            if count < len(message.states) or len(data) > MAX_DATAGRAM_BYTES:
                raise DatagramTooLargeError(len(message.states))
            self.sent_bytes += len(data)
            recipient = self._names_by_address[destination]
            if self.is_cut(sender, recipient) or self.rng.random() < self.loss:
                continue
            for _ in range(2 if self.rng.random() < self.loss / 4.0 else 1):
                arrives_at = self.now + self.rng.uniform(_MIN_DELAY_SECONDS, self.max_delay)
                self.schedule(arrives_at, partial(self._deliver, sender, recipient, data))

    def _deliver(self, sender: str, recipient: str, data: bytes) -> None:
        node = self.running.get(recipient)
        if node is None:
            return
        if recipient in self.suspended:
            self.suspended[recipient].append(lambda: self._deliver(sender, recipient, data))
            return
        self.transmit(recipient, node.on_message(decode(data), self.addresses[sender], self.now))

    @staticmethod
    def dead_members(node: Membership) -> set[str]:
        """Return the members that a node believes to be dead."""
        members = node.view(0.0).states  # the members do not depend on the time
        return {name for name, state in members.items() if state.status is MemberStatus.DEAD}

    def believed_members(self) -> set[tuple[str, ...]]:
        """Return the distinct member lists that running nodes believe in."""
        return {node.view(self.now).member_names for node in self.running.values()}

    def has_converged(self) -> bool:
        """Whether every running node believes that the members are exactly the running nodes."""
        return self.believed_members() == {tuple(sorted(self.running))}


def _host(number: int) -> str:
    """Return the loopback address of a node."""
    return f"127.0.{number // _HOSTS_PER_SUBNET}.{number % _HOSTS_PER_SUBNET + 1}"
