"""A fleet of memberships in virtual time: datagrams late, lost, repeated or cut, nodes that stop and die."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from functools import partial

from burlmoor.membership.codec import MAX_DATAGRAM_BYTES, decode, encode
from burlmoor.membership.member import Address, MemberStatus
from burlmoor.membership.swim import Datagram, Membership

STEP = 0.05


class GossipSimulation:
    """Owns the nodes, the network between them and the clock."""

    def __init__(
        self, nodes: int, seed: int, loss: float = 0.0, late: float = 0.02, knowing: int = 0
    ) -> None:
        self.rng, self.loss, self.late = random.Random(seed), loss, late
        self.now, self._order = 0.0, 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.peers: dict[str, Address] = {
            f"n{n}": (f"127.0.{n // 250}.{n % 250 + 1}", 9000) for n in range(nodes)
        }
        self._at = {where: name for name, where in self.peers.items()}
        self.up: dict[str, Membership] = {}
        self.stopped: dict[str, list[Callable[[], None]]] = {}
        self.cut: Callable[[str, str], bool] = lambda _a, _b: False
        self.bytes, self.alarms = 0, list[tuple[float, str, str]]()
        self.knowing = knowing
        for name in self.peers:
            self.start(name)

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something at a moment."""
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, act))

    def start(self, name: str, life: int = 100) -> None:
        """Start a node, or start it again."""
        known = dict(list(self.peers.items())[: self.knowing]) if self.knowing else self.peers
        seed = random.Random(self.rng.random())
        self.up[name] = node = Membership(name, self.peers[name], known, life, seed)
        self.at(self.now + self.rng.uniform(0.0, 0.25), lambda: self._step(name, node))

    def kill(self, names: Iterable[str]) -> None:
        """End nodes without a word."""
        for name in names:
            del self.up[name]

    def stop(self, name: str, lasts: float) -> None:
        """Stop a node for a time: what comes meanwhile waits."""
        self.stopped[name] = []
        self.at(self.now + lasts, lambda: self._wake(name))

    def _wake(self, name: str) -> None:
        for act in self.stopped.pop(name):
            act()

    def _step(self, name: str, node: Membership) -> None:
        if self.up.get(name) is not node:
            return
        if name in self.stopped:
            self.stopped[name].append(lambda: self._step(name, node))
            return
        before = self.dead(node)
        self.send(name, node.step(self.now))
        self.alarms += [(self.now, name, each) for each in self.dead(node) - before]
        self.at(max(self.now + STEP, node.next_due()), lambda: self._step(name, node))

    @staticmethod
    def dead(node: Membership) -> set[str]:
        """Whom a node believes dead."""
        return {name for name, fact in node.view(0.0).members.items() if fact.status is MemberStatus.DEAD}

    def send(self, name: str, out: list[Datagram]) -> None:
        """Hand a node's datagrams to the network."""
        for to, message in out:
            data, count = encode(message)
            if count < len(message.members) or len(data) > MAX_DATAGRAM_BYTES:
                raise ValueError(f"{len(message.members)} facts do not fit")
            self.bytes += len(data)
            other = self._at[to]
            if self.cut(name, other) or self.rng.random() < self.loss:
                continue
            for _ in range(2 if self.rng.random() < self.loss / 4.0 else 1):
                self.at(self.now + self.rng.uniform(0.001, self.late), partial(self._come, name, other, data))

    def _come(self, name: str, other: str, data: bytes) -> None:
        node = self.up.get(other)
        if node is None:
            return
        if other in self.stopped:
            self.stopped[other].append(lambda: self._come(name, other, data))
            return
        self.send(other, node.on_message(decode(data), self.peers[name], self.now))

    def run(self, until: float) -> None:
        """Go on until a moment."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        self.now = until

    def seen(self) -> set[tuple[str, ...]]:
        """All that nodes believe of who is there."""
        return {node.view(self.now).member_names for node in self.up.values()}

    def agreed(self) -> bool:
        """Whether all believe the truth."""
        return self.seen() == {tuple(sorted(self.up))}

    def until_agreed(self, within: float) -> float:
        """How long it takes until all believe the truth; more than `within` where it does not come."""
        began = self.now
        while not self.agreed() and self.now < began + within + 0.5:
            self.run(self.now + 0.25)
        return self.now - began
