"""Discovery's list: the targets, their addresses and states, and the watch on changes."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
import trio

from burlmoor import messages as m
from burlmoor.core import Core, Say
from burlmoor.net.asking import Asking
from burlmoor.net.pool import Pool
from burlmoor.net.target import BrokenReply

_PATH = b"/registry/instances"
# What a watch that falls silent misses counts as told 6 s after that, or 2 s after its call's wait is over if
# that is later. So the wait is short: an overdue answer shows soon enough for a new call to come through, and
# for a whole fleet's. A call that goes on from an answer costs discovery no turn.
_WAIT_MS = 1000
_FIRST_WITHIN = 2.0  # seconds that a first call may stand in its turn at discovery, beyond the wait
_NEXT_WITHIN = 0.5  # seconds that the answer to a later call of a watch may take beyond the wait
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


_DECODER = msgspec.json.Decoder(HostList | None)


class Target(NamedTuple):
    """Where one executor listens, and whether it wants new work."""

    dial: str
    state: m.State
    born: float


class ByHand(msgspec.Struct):
    """What operators have set of targets; times are Unix times in ms."""

    out: dict[str, float] = {}  # who gets nothing, since when
    started: dict[str, float] = {}  # who was put back, and when it counts as started


class TargetGroup:
    """Owns the list as this node has it, its version, and what operators have laid over it."""

    def __init__(self, core: Core, pool: Pool, from_unix: Callable[[float], float]) -> None:
        self._core, self._pool, self._from_unix = core, pool, from_unix
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
        """Take in an answer of discovery; ValueError if it is not one."""
        given = _DECODER.decode(body)
        if given is None:
            raise ValueError("not a list")
        self._apply(given)
        if given.whole or given.hosts:
            self._core.listed(m.Form.FULL if given.whole else m.Form.CHANGES, self._entries(given.hosts))

    def _apply(self, given: HostList) -> None:
        if given.whole:
            names = {host.host for host in given.hosts}
            for name in [name for name in self._targets if name not in names]:
                self._pool.drop(self._targets.pop(name).dial)
                self._hosts.pop(name, None)
        older = self.version is not None and given.seq < self.version
        for number, host in enumerate(given.hosts):
            old = self._targets.get(host.host)
            state = _STATES.get(host.health, m.State.GONE)
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
        state = _STATES.get(host.health, m.State.GONE)
        return m.State.DRAINING if state is m.State.LIVE and host.host in self.by_hand.out else state


class Watch:
    """Owns the calls to discovery: one at a time, the next at once after each answer."""

    def __init__(self, group: TargetGroup, pool: Pool, dial: str, asking: Asking, say: Say) -> None:
        self._group, self._pool, self._dial, self._asking, self._say = group, pool, dial, asking, say
        self._failures = 0
        self._whole = False
        self._watching = False  # whether the last call was answered, so that the next goes on from it
        self._turn = trio.CancelScope()

    def move(self, dial: str) -> None:
        """Discovery is at another address from now on: ask there at once, whatever was under way."""
        if dial == self._dial:
            return
        self._pool.drop(self._dial)
        self._dial = dial
        # Its versions need not go on from the old one's, so the first call there asks for the whole list.
        self._failures, self._whole, self._watching = 0, True, False
        self._turn.cancel()

    def subscribe(self) -> None:
        """The watch runs from the start and never ends, so the module's wish is met already."""

    def fetch(self) -> None:
        """Ask for the whole list with the next call."""
        self._whole = True

    async def run(self) -> None:
        """Watch until cancelled."""
        with trio.CancelScope() as self._turn:
            if self._group.version is not None:
                await trio.sleep(self._asking.at_start())
        while True:
            with trio.CancelScope() as self._turn:  # ended early where discovery moves
                await self._ask()

    async def _ask(self) -> None:
        """One call, and the wait after it if it failed."""
        whole = self._whole or self._group.version is None
        # A new watch is answered within its wait; only a whole list is answered at once.
        within = (_NEXT_WITHIN if self._watching else _FIRST_WITHIN) + (0.0 if whole else _WAIT_MS / 1000.0)
        watched, self._watching = self._watching, False
        try:
            with trio.fail_after(within):
                self._group.apply(await self._call(whole))
        except trio.TooSlowError:
            # Guards the drain rule: silence is no sign of a crowd at discovery, and what it holds back counts
            # as told soon. A fleet that may have fallen silent as one spreads its calls, within that time.
            self._failures += 1
            self._say("discovery-failed", error="silent", failures=self._failures)
            await trio.sleep(self._asking.after_silence() if watched else self._asking.after(self._failures))
        except Exception as error:  # whatever it is, the node goes on with the list it has
            self._failures += 1
            self._say("discovery-failed", error=repr(error), failures=self._failures)
            await trio.sleep(self._asking.after(self._failures))
        else:
            if self._failures:
                self._say("discovery-back", failures=self._failures, version=self._group.version)
            self._failures, self._watching = 0, True
            self._whole = self._whole and not whole  # asked for again until it has come

    async def _call(self, whole: bool) -> bytes:
        path = _PATH if whole else b"%s?after=%d&wait_ms=%d" % (_PATH, self._group.version or 0, _WAIT_MS)
        reply = await self._pool.call(self._dial, b"GET", path)
        if reply.status != 200:
            raise BrokenReply(f"status {reply.status}")
        return reply.body
