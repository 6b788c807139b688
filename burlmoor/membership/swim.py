"""The life of the view: probes, suspicions, refutations and gossip, as a pure state machine.

After SWIM (Das, Gupta, Motivala 2002) with Lifeguard's additions (Dadgar, Phillips, Currey 2018): a node that
gets no answer asks others to try; who is suspected may refute it by a higher incarnation; suspicion lasts the
shorter the more confirm it; and a node that is ill doubts itself first, by its local health, which stretches
its own waits. Facts ride on every datagram, the least told first, each a bounded number of times. A digest of
the view rides there too: two that differ while nothing is left to tell exchange all, so halves that never met
agree. Fed messages and the time in seconds; returns what to send.
"""

from __future__ import annotations

import bisect
import math
import random
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from burlmoor.membership.codec import Message, MessageKind, encode, pieces
from burlmoor.membership.member import MAX_INCARNATION, Address, MemberState, MemberStatus
from burlmoor.membership.view import MembershipView

MOST = 4096  # nodes that are known at a time
_HEALTH_MOST = 8
_FACTS = 10  # that about fit into a datagram
_RAISES, _RAISES_WITHIN = 6, 30.0  # of the own life: more say that another node has this name


class Tuning(NamedTuple):
    """Times in seconds, counts otherwise.

    A node that dies is probed within a period by one of those before it in a ring that all share, found
    silent 0.9 s later, declared dead after its suspicion, and all hear of it within some gossips: 1 + 0.9 +
    3.2 + 0.8, within 6 s. One that was stopped for 3 s is not declared dead: 0.9 + 2.7 at least.
    """

    period: float = 1.0  # in which `ring` neighbours are probed, and one at random
    ring: int = 3
    answer: float = 0.3  # until others are asked to try
    over: float = 0.9  # until a probe has failed
    helpers: int = 3
    suspicion: float = 2.7  # at least
    stretch: float = 1.2  # at most, times that, as long as nobody confirms
    gossip: float = 0.25
    fan: int = 2  # who hears gossip at a time
    burst: int = 4  # datagrams that each of them gets at most
    retell: float = 3.0  # times the binary logarithm of the fleet, for each fact
    sync: float = 2.0  # between two exchanges of all
    slept: float = 2.0  # a step that comes later than that: this process was stopped
    forget: float = 120.0  # after which the dead are forgotten


class Datagram(NamedTuple):
    """What is to be sent, and where."""

    to: Address
    message: Message


@dataclass(slots=True)
class _Suspicion:
    since: float
    by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Probe:
    name: str
    ask_at: float
    over_at: float
    asked: bool = False
    helped: bool = False  # whether one who was asked to try has answered


class Membership:
    """Owns one node's view. `peers` are the configured nodes; others are learnt from those."""

    def __init__(
        self,
        name: str,
        address: Address,
        peers: Mapping[str, Address],
        life: int,
        rng: random.Random,
        tuning: Tuning = Tuning(),  # noqa: B008  (a constant)
    ) -> None:
        self._rng, self._tuning = rng, tuning
        self.me = MemberState(name, address, life, rng.randrange(1, 0x10000), 0, MemberStatus.ALIVE)
        self._peers = {other: where for other, where in peers.items() if other != name}
        self._known: dict[str, MemberState] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._over: dict[str, float] = {}  # since when somebody has been dead or has left
        self._untold: dict[str, int] = {name: 0}  # how often the latest fact of each has been told
        self._probes: dict[int, _Probe] = {}
        self._passing: dict[int, tuple[Address, int, float]] = {}  # answers to pass on, and until when
        self._order: list[str] = []  # whom to probe yet, of all in turn
        self._turns = 0
        self._ring: list[tuple[int, str]] | None = None  # of all others, in an order that all share
        self._number = rng.randrange(1 << 24)
        self.health = 0  # how ill this node believes itself to be
        self.contested = False  # whether another process claims this name again and again
        self._raised: list[float] = []
        self._version = 0
        self._next_probe = self._next_gossip = self._next_sync = -math.inf
        self._last_step: float | None = None
        self._heard_at = -math.inf  # when somebody last answered
        self._differs: Address | None = None  # somebody whose view is another
        self._digest: int | None = None

    # --- what others read -----------------------------------------------------------------------

    def view(self, now: float) -> MembershipView:
        """The view as it is now."""
        lately = now - self._heard_at < 3.0 * self._tuning.period * (1 + self.health) + self._tuning.answer
        sure = lately or not self._peers
        members = {**self._known, self.me.name: self.me}
        return MembershipView(self._version, self.me, members, len(self._peers) + 1, sure)

    def next_due(self) -> float:
        """When `step` is needed next."""
        return min(self._next_probe, self._next_gossip)

    # --- time -----------------------------------------------------------------------------------

    def step(self, now: float) -> list[Datagram]:
        """What time brings."""
        out: list[Datagram] = []
        self._wake(now)
        for number, probe in list(self._probes.items()):
            if now >= probe.over_at:
                del self._probes[number]
                out += self._unanswered(probe, now)
            elif now >= probe.ask_at and not probe.asked:
                probe.asked = True
                for helper in self._some(self._tuning.helpers, but=probe.name):
                    out.append(self._to(helper, MessageKind.PING_REQUEST, number, probe.name))
        for name, suspicion in list(self._suspicions.items()):
            if now >= suspicion.since + self._patience(len(suspicion.by)):
                self._learn(self._known[name]._replace(status=MemberStatus.DEAD), self.me.name, now)
        for name, since in list(self._over.items()):
            if now >= since + self._tuning.forget:
                del self._over[name], self._known[name]
                self._changed()
        if now >= self._next_probe:
            self._next_probe = now + self._tuning.period * (1 + self.health) / (self._tuning.ring + 1)
            out += self._probe(now)
        if now >= self._next_gossip:
            self._next_gossip = now + self._tuning.gossip
            if self._untold:
                # Many at once where many have something new, as when a whole fleet starts.
                burst = min(self._tuning.burst, 1 + len(self._untold) // _FACTS)
                for name in self._some(self._tuning.fan):
                    out += [self._to(name, MessageKind.GOSSIP) for _ in range(burst)]
            elif self._differs is not None and now >= self._next_sync:
                self._next_sync = now + self._tuning.sync
                out += self._all(MessageKind.SYNC, self._differs)
                self._differs = None
        return out

    def leave(self) -> list[Datagram]:
        """This node ends: some hear it from itself, the others from them."""
        self._mine(self.me._replace(incarnation=MAX_INCARNATION, status=MemberStatus.LEFT))
        return [self._to(name, MessageKind.GOSSIP) for name in self._some(2 * self._tuning.helpers)]

    def _wake(self, now: float) -> None:
        slept = self._last_step is not None and now > self._last_step + self._tuning.slept
        self._last_step = now
        if slept:
            # Guards against false accusations, and against acting on an old view: what was waited for while
            # this process was stopped proves nothing, and it may have been declared dead meanwhile.
            self._probes.clear()
            self._passing.clear()
            for suspicion in self._suspicions.values():
                suspicion.since = now
            self._heard_at = -math.inf
            self._doubt_self()
            self._next_probe = now

    def _doubt_self(self) -> None:
        self.health = min(_HEALTH_MOST, self.health + 1)

    def _patience(self, confirmed: int) -> float:
        """How long a suspicion lasts, the shorter the more have it."""
        tuning = self._tuning
        share = math.log(min(confirmed, tuning.helpers) + 1.0) / math.log(tuning.helpers + 1.0)
        return tuning.suspicion * (1.0 + (1.0 - share) * (tuning.stretch - 1.0))

    def _next(self) -> str | None:
        """Whom to probe: in turn one of those behind this node in a ring that all share, and any of all."""
        if self._ring is None:
            names = [name for name, fact in self._known.items() if fact.is_member]
            self._ring = sorted((zlib.crc32(name.encode()), name) for name in names)
        there = self._ring
        if not there:
            return None
        self._turns += 1
        place = self._turns % (self._tuning.ring + 1)
        if place:
            here = bisect.bisect(there, (zlib.crc32(self.me.name.encode()), self.me.name))
            return there[(here + place - 1) % len(there)][1]
        if not self._order:
            self._order = [name for _, name in there]
            self._rng.shuffle(self._order)
        name = self._order.pop()
        return name if self._there(name) else None

    def _probe(self, now: float) -> list[Datagram]:
        out = []
        name = self._next()
        if name is not None:
            self._number += 1
            stretch = 1 + self.health
            times = now + self._tuning.answer * stretch, now + self._tuning.over * stretch
            self._probes[self._number] = _Probe(name, *times)
            out.append(self._to(name, MessageKind.PING, self._number))
        if self._turns % (self._tuning.ring + 1):
            return out
        # Whoever is not there may be back, or may never have heard of this node.
        away = [name for name in {**self._peers, **self._known} if not self._there(name)]
        lone = not any(fact.is_member for fact in self._known.values())
        if away and (lone or self._rng.random() < 0.25 * (1.0 + len(away) / (len(self._known) + 1.0))):
            for name in self._rng.sample(away, min(len(away), 3 if lone else 1)):
                self._number += 1
                out.append(self._to(name, MessageKind.PING, self._number))
        return out

    def _unanswered(self, probe: _Probe, now: float) -> list[Datagram]:
        if not probe.helped:
            # Nobody answers this node: perhaps it is the one that is ill.
            self._doubt_self()
        fact = self._known.get(probe.name)
        if fact is not None and fact.status is MemberStatus.ALIVE:
            self._learn(fact._replace(status=MemberStatus.SUSPECT), self.me.name, now)
        elif fact is not None and fact.status is MemberStatus.SUSPECT:
            self._suspicions[probe.name].by.add(self.me.name)
        # It is told itself, first of all, that it is doubted.
        return [self._to(probe.name, MessageKind.PING)] if fact is not None else []

    # --- what others say ------------------------------------------------------------------------

    def on_message(self, message: Message, source: Address, now: float) -> list[Datagram]:
        """A datagram has come."""
        self._wake(now)
        sender = message.members[0]
        if sender.name == self.me.name and sender.precedence[:2] == self.me.precedence[:2]:
            return []  # one's own, come back
        for fact in message.members:
            self._learn(fact, sender.name, now)
        out: list[Datagram] = []
        if message.kind is MessageKind.PING:
            out.append(self._answer(source, MessageKind.ACK, message.number, sender))
        elif message.kind is MessageKind.ACK:
            self._heard_at = now
            probe = self._probes.pop(message.number, None)
            if probe is not None:
                self.health = max(0, self.health - 1)
            passing = self._passing.pop(message.number, None)
            if passing is not None:
                out.append(self._answer(passing[0], MessageKind.ACK, passing[1], sender))
        elif message.kind is MessageKind.PING_REQUEST and message.target in self._known:
            self._number += 1
            self._passing = {n: each for n, each in self._passing.items() if each[2] > now}
            self._passing[self._number] = source, message.number, now + self._tuning.period
            out.append(self._answer(source, MessageKind.GOSSIP, message.number, sender))  # that it tries
            out.append(self._to(message.target, MessageKind.PING, self._number))
        elif message.kind is MessageKind.GOSSIP and message.number in self._probes:
            self._probes[message.number].helped = True
        elif message.kind is MessageKind.SYNC and now >= self._next_sync:
            self._next_sync = now + self._tuning.sync
            out += self._all(MessageKind.GOSSIP, source)
        if message.digest != self.digest():
            self._differs = source
        return out

    def _learn(self, fact: MemberState, by: str, now: float) -> None:
        if fact.name == self.me.name:
            self._about_me(fact, now)
            return
        known = self._known.get(fact.name)
        if known is None and len(self._known) >= MOST:
            return
        if known is not None and fact.precedence <= known.precedence:
            if fact.precedence == known.precedence and fact.status is MemberStatus.SUSPECT:
                self._suspicions[fact.name].by.add(by)
            return
        self._known[fact.name] = fact
        self._untold[fact.name] = 0
        self._suspicions.pop(fact.name, None)
        self._over.pop(fact.name, None)
        if fact.status is MemberStatus.SUSPECT:
            self._suspicions[fact.name] = _Suspicion(now, {by})
        elif not fact.is_member:
            self._over[fact.name] = now
        self._changed()

    def _about_me(self, fact: MemberState, now: float) -> None:
        if fact.precedence <= self.me.precedence or self.me.status is MemberStatus.LEFT:
            return
        if fact.precedence[:2] == self.me.precedence[:2]:
            # Somebody doubts this node: it says that it lives, and doubts itself a little more.
            self._doubt_self()
            if fact.incarnation + 1 < MAX_INCARNATION:
                self._mine(self.me._replace(incarnation=fact.incarnation + 1))
                return
        # A later life of this name is known: of a process before this one whose clock was ahead, or of
        # another node with the same name, and then neither is to thrash the fleet.
        self._raised = [at for at in self._raised if now - at < _RAISES_WITHIN]
        self.contested = len(self._raised) >= _RAISES
        if not self.contested:
            self._raised.append(now)
            self._mine(
                self.me._replace(generation=max(self.me.generation, fact.generation) + 1, incarnation=0)
            )

    def _mine(self, fact: MemberState) -> None:
        self.me = fact
        self._untold[fact.name] = 0
        self._changed()

    # --- what is sent ---------------------------------------------------------------------------

    def digest(self) -> int:
        """A number that two views share if they are the same."""
        if self._digest is None:
            rows = sorted((fact.name, fact.precedence) for fact in (self.me, *self._known.values()))
            self._digest = zlib.crc32(repr(rows).encode())
        return self._digest

    def _changed(self) -> None:
        self._version += 1
        self._digest = self._ring = None

    def _there(self, name: str) -> bool:
        return name in self._known and self._known[name].is_member

    def _some(self, count: int, but: str = "") -> list[str]:
        names = [name for name, fact in self._known.items() if fact.is_member and name != but]
        return self._rng.sample(names, min(count, len(names)))

    def _to(self, name: str, kind: MessageKind, number: int = 0, target: str = "") -> Datagram:
        fact = self._known.get(name)
        doubted = fact if fact is not None and fact.status is not MemberStatus.ALIVE else None
        # Where it is reached from here: the address that it is told by may be another's way to it.
        to = self._peers.get(name) or (fact.address if fact else self.me.address)
        return self._with(to, kind, number, target, doubted)

    def _answer(self, to: Address, kind: MessageKind, number: int, asker: MemberState) -> Datagram:
        known = self._known.get(asker.name)
        return self._with(
            to, kind, number, "", known if known and known.precedence > asker.precedence else None
        )

    def _with(
        self, to: Address, kind: MessageKind, number: int, target: str, about: MemberState | None
    ) -> Datagram:
        """A message with the facts that need telling most; first, to whom it goes, what is believed of it."""
        most = self._tuning.retell * math.log2(len(self._known) + 2.0)
        facts: list[MemberState] = [self.me]
        if about is not None:
            facts.append(about)
        names = sorted(self._untold, key=self._urgency)[: _FACTS + 2]
        facts += [
            self._known[name] for name in names if name in self._known and self._known[name] is not about
        ]
        message = Message(kind, number, self.digest(), tuple(facts), target)
        _, count = encode(message)
        self._count(fact.name for fact in facts[:count])
        for name in [name for name, told in self._untold.items() if told >= most or not self._has(name)]:
            del self._untold[name]
        return Datagram(to, message._replace(members=tuple(facts[:count])))

    def _urgency(self, name: str) -> tuple[bool, int]:
        """Doubts and refutations go before those who are only there; then who was told least."""
        fact = self._known.get(name, self.me)
        return fact.status is MemberStatus.ALIVE and fact.incarnation == 0, self._untold[name]

    def _has(self, name: str) -> bool:
        return name in self._known or name == self.me.name

    def _count(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self._untold:
                self._untold[name] += 1

    def _all(self, kind: MessageKind, to: Address) -> list[Datagram]:
        facts = list(self._known.values())
        return [Datagram(to, each) for each in pieces(kind, 0, self.digest(), self.me, facts)]
