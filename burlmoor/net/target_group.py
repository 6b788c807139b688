"""Discovery's list: the targets, their addresses and states, and what operators have laid over it."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from burlmoor import messages as m
from burlmoor.core import Core, Say
from burlmoor.net.pool import Pool
from burlmoor.net.stream import address

_STATES = {"active": m.State.LIVE, "leaving": m.State.DRAINING, "left": m.State.GONE}
_HEALTH = {state: health for health, state in _STATES.items()}


class _Host(msgspec.Struct):
    host: str
    dial: str = ""
    site: str = ""
    kind: str = msgspec.field(name="class", default="")
    block: int = 0
    health: str = "left"
    share: float = 1.0
    born_ms: float = 0.0


class HostList(msgspec.Struct):
    """A list in discovery's form."""

    seq: int
    whole: bool = True
    hosts: list[_Host] = []


_NAMED = 8  # targets that a log line names
_DECODER = msgspec.json.Decoder(HostList | None)


class Target(NamedTuple):
    """Where one executor listens, and whether it wants new work."""

    dial: str
    state: m.State
    born: float


def _listed(host: _Host) -> m.State:
    return _STATES.get(host.health, m.State.GONE)


def _leaves(host: _Host) -> bool:
    return _listed(host) is not m.State.LIVE


def _fault(host: _Host, known: dict[str, _Host]) -> str | None:
    """What of an entry that wants jobs cannot be meant: the field and why."""
    if not host.host:
        return "host: empty"
    if not host.share >= 0.0:
        return f"share: {host.share} is no weight"
    dial = host.dial or (known[host.host].dial if host.host in known else "")
    try:
        address(dial)
    except ValueError as error:
        return f"dial: {error}"
    return None


class ByHand(msgspec.Struct):
    """What operators have set of targets; times are Unix times in ms."""

    out: dict[str, float] = {}  # who gets nothing, since when
    started: dict[str, float] = {}  # who was put back, and when it counts as started


class TargetGroup:
    """Owns the list as this node has it, its version, and what operators have laid over it."""

    def __init__(self, core: Core, pool: Pool, from_unix: Callable[[float], float], say: Say) -> None:
        self._core, self._pool, self._from_unix, self._say = core, pool, from_unix, say
        self._targets: dict[str, Target] = {}
        self._hosts: dict[str, _Host] = {}
        self.by_hand = ByHand()
        self.version: int | None = None

    def live(self, name: str) -> Target | None:
        """The target, if it may be sent new work now."""
        target = self._targets.get(name)
        if target is None or target.state is not m.State.LIVE or name in self.by_hand.out:
            return None
        return target

    def knows(self, name: str) -> bool:
        """Whether a target has this name, or had when it was taken out."""
        return name in self._targets or name in self.by_hand.out

    def take_out(self, name: str) -> None:
        """Nothing more goes to this target until it is put back; told again, it changes nothing."""
        if name not in self.by_hand.out:
            self.by_hand.out[name] = time.time() * 1000.0
            self.by_hand.started.pop(name, None)
            self._tell([name])

    def put_back(self, name: str) -> None:
        """The list holds for this target again."""
        since = self.by_hand.out.pop(name, None)
        if since is not None:
            host = self._hosts.get(name)
            if host is None or host.born_ms < since:
                # Guards rule 4: it was restarted while it was out, which the list tells only later.
                self.by_hand.started[name] = time.time() * 1000.0
            if host is not None:
                # What was open may be of the process before, and would lose the next job written to it.
                self._pool.drop(host.dial)
            self._tell([name])

    def set_by_hand(self, given: ByHand) -> None:
        """What is given is laid over the list from now on."""
        names = {*self.by_hand.out, *self.by_hand.started, *given.out, *given.started}
        self.by_hand = given
        self._tell(names)

    def _tell(self, names: Iterable[str]) -> None:
        hosts = [self._hosts[name] for name in names if name in self._hosts]
        if hosts:
            self._core.listed(m.Form.CHANGES, self._entries(hosts))

    def dial(self, name: str) -> str | None:
        """The target's address, whatever its state."""
        target = self._targets.get(name)
        return target.dial if target else None

    def start_from(self, given: HostList | None) -> None:
        """Take in the list as this node last had it."""
        if given is not None:
            self._apply(given)
        self._core.listed(m.Form.CACHED, self._entries(given.hosts if given else []))

    def whole(self) -> HostList | None:
        """The list as this node has it."""
        return None if self.version is None else HostList(self.version, True, list(self._hosts.values()))

    def take_up(self, given: HostList | None) -> None:
        """Go on from the list that the process before this one had: it is newer than `known`."""
        if given is not None:
            self._apply(given)
            self._core.listed(m.Form.FULL, self._entries(given.hosts))

    def apply(self, body: bytes) -> None:
        """Take in an answer of discovery; ValueError naming the field, and nothing changed, if it is none."""
        given = _DECODER.decode(body)
        if given is None:
            raise ValueError("not a list")
        live = self._live()
        if given.whole and not given.hosts and live:
            # A registry that has just started knows nobody. Those who have left refuse connections anyway.
            raise ValueError("hosts: empty, though executors were listed")
        given.hosts = self._usable(given.hosts)
        self._apply(given)
        left = sorted(live - self._live())
        if left:
            self._say("targets-leaving", count=len(left), names=left[:_NAMED], version=given.seq)
        if given.whole or given.hosts:
            self._core.listed(m.Form.FULL if given.whole else m.Form.CHANGES, self._entries(given.hosts))

    def _live(self) -> set[str]:
        return {name for name, each in self._targets.items() if each.state is m.State.LIVE}

    def _usable(self, hosts: list[_Host]) -> list[_Host]:
        """The entries that can be meant, one a host.

        Guards the drain rule: one bad entry must not keep the others' drains from being heard, nor undo one.
        """
        found: dict[str, _Host] = {}
        faults: list[str] = []
        for number, host in enumerate(hosts):
            before = found.get(host.host)
            if before is not None:
                faults.append(f"hosts[{number}].host: {host.host!r} is there twice")
                if (host.born_ms, _leaves(host)) <= (before.born_ms, _leaves(before)):
                    continue
            elif not _leaves(host):
                fault = _fault(host, self._hosts)
                if fault:
                    faults.append(f"hosts[{number}].{fault}")
                    if host.host in self._hosts:
                        found[host.host] = self._hosts[host.host]
                    continue
            found[host.host] = host
        if faults:
            self._say("list-entries-bad", error=faults[0], count=len(faults))
        return list(found.values())

    def _apply(self, given: HostList) -> None:
        if given.whole:
            names = {host.host for host in given.hosts}
            for name in [name for name in self._targets if name not in names]:
                self._pool.drop(self._targets.pop(name).dial)
                self._hosts.pop(name, None)
        older = self.version is not None and given.seq < self.version
        for number, host in enumerate(given.hosts):
            old = self._targets.get(host.host)
            state = _listed(host)
            if older and old is not None and old.born == host.born_ms and old.state is not m.State.LIVE:
                # Guards the drain rule: a list from before a drain was told does not undo it.
                state = old.state
                given.hosts[number] = msgspec.structs.replace(host, health=_HEALTH[state])
            new = Target(host.dial or (old.dial if old else ""), state, host.born_ms)
            if old is not None and (new.dial, new.born) != (old.dial, old.born):
                # A process that has started anew knows nothing of the old one's connections.
                self._pool.drop(old.dial)
            # One that is gone keeps its address, so that what it still holds can be given up there.
            self._targets[host.host] = new
            self._hosts[host.host] = given.hosts[number]
        self.version = given.seq

    def _entries(self, hosts: list[_Host]) -> list[m.Entry]:
        return [
            m.Entry(
                executor=host.host,
                state=self._state(host),
                zone=host.site,
                weight=host.share,
                cell=host.block,
                kind=host.kind,
                started=self._from_unix(max(host.born_ms, self.by_hand.started.get(host.host, 0.0))),
            )
            for host in hosts
        ]

    def _state(self, host: _Host) -> m.State:
        state = _listed(host)
        return m.State.DRAINING if state is m.State.LIVE and host.host in self.by_hand.out else state
