"""Discovery's list: the targets, their addresses and states, and what operators have laid over it."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.engine.engine import Engine
from burlmoor.log import EventLogger
from burlmoor.transport.stream import parse_address
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.upstream.pool import ConnectionPool

_STATES = {"active": EndpointState.LIVE, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}
_HEALTH = {state: health for health, state in _STATES.items()}


_NAMED = 8  # targets that a log line names
_DECODER = msgspec.json.Decoder(DiscoveredList | None)


class ListedEndpoint(NamedTuple):
    """Where one executor listens, and whether it wants new work."""

    address: str
    state: EndpointState
    started_unix_ms: float


def _listed(host: DiscoveredEndpoint) -> EndpointState:
    return _STATES.get(host.health, EndpointState.GONE)


def _leaves(host: DiscoveredEndpoint) -> bool:
    return _listed(host) is not EndpointState.LIVE


def _fault(host: DiscoveredEndpoint, known: dict[str, DiscoveredEndpoint]) -> str | None:
    """What of an entry that wants jobs cannot be meant: the field and why."""
    if not host.name:
        return "host: empty"
    if not host.weight >= 0.0:
        return f"share: {host.weight} is no weight"
    dial = host.address or (known[host.name].address if host.name in known else "")
    try:
        parse_address(dial)
    except ValueError as error:
        return f"dial: {error}"
    return None


class EndpointOverrides(msgspec.Struct):
    """What operators have set of targets; times are Unix times in ms."""

    disabled_since: dict[str, float] = msgspec.field(name="out", default={})  # who gets nothing, since when
    enabled_since: dict[str, float] = msgspec.field(
        name="started", default={}
    )  # who was put back, and when it counts as started


class EndpointDirectory:
    """Owns the list as this node has it, its version, and what operators have laid over it."""

    def __init__(
        self, engine: Engine, pool: ConnectionPool, from_unix: Callable[[float], float], log: EventLogger
    ) -> None:
        self._engine, self._pool, self._from_unix, self._log = engine, pool, from_unix, log
        self._targets: dict[str, ListedEndpoint] = {}
        self._hosts: dict[str, DiscoveredEndpoint] = {}
        self.overrides = EndpointOverrides()
        self.version: int | None = None

    def find_live(self, name: str) -> ListedEndpoint | None:
        """The target, if it may be sent new work now."""
        target = self._targets.get(name)
        if target is None or target.state is not EndpointState.LIVE or name in self.overrides.disabled_since:
            return None
        return target

    def is_known(self, name: str) -> bool:
        """Whether a target has this name, or had when it was taken out."""
        return name in self._targets or name in self.overrides.disabled_since

    def disable(self, name: str) -> None:
        """Nothing more goes to this target until it is put back; told again, it changes nothing."""
        if name not in self.overrides.disabled_since:
            self.overrides.disabled_since[name] = time.time() * 1000.0
            self.overrides.enabled_since.pop(name, None)
            self._tell([name])

    def enable(self, name: str) -> None:
        """The list holds for this target again."""
        since = self.overrides.disabled_since.pop(name, None)
        if since is not None:
            host = self._hosts.get(name)
            if host is None or host.started_unix_ms < since:
                # Guards rule 4: it was restarted while it was out, which the list tells only later.
                self.overrides.enabled_since[name] = time.time() * 1000.0
            if host is not None:
                # What was open may be of the process before, and would lose the next job written to it.
                self._pool.close_idle_to(host.address)
            self._tell([name])

    def set_overrides(self, given: EndpointOverrides) -> None:
        """What is given is laid over the list from now on."""
        names = {
            *self.overrides.disabled_since,
            *self.overrides.enabled_since,
            *given.disabled_since,
            *given.enabled_since,
        }
        self.overrides = given
        self._tell(names)

    def _tell(self, names: Iterable[str]) -> None:
        hosts = [self._hosts[name] for name in names if name in self._hosts]
        if hosts:
            self._engine.on_endpoint_list(ListKind.DELTA, self._entries(hosts))

    def address_of(self, name: str) -> str | None:
        """The target's address, whatever its state."""
        target = self._targets.get(name)
        return target.address if target else None

    def load_cached(self, given: DiscoveredList | None) -> None:
        """Take in the list as this node last had it."""
        if given is not None:
            self._apply(given)
        self._engine.on_endpoint_list(ListKind.CACHED, self._entries(given.endpoints if given else []))

    def snapshot(self) -> DiscoveredList | None:
        """The list as this node has it."""
        return (
            None if self.version is None else DiscoveredList(self.version, True, list(self._hosts.values()))
        )

    def restore(self, given: DiscoveredList | None) -> None:
        """Go on from the list that the process before this one had: it is newer than `known`."""
        if given is not None:
            self._apply(given)
            self._engine.on_endpoint_list(ListKind.SNAPSHOT, self._entries(given.endpoints))

    def apply_response(self, body: bytes) -> None:
        """Take in an answer of discovery; ValueError naming the field, and nothing changed, if it is none."""
        given = _DECODER.decode(body)
        if given is None:
            raise ValueError("not a list")
        live = self._live()
        if given.is_complete and not given.endpoints and live:
            # A registry that has just started knows nobody. Those who have left refuse connections anyway.
            raise ValueError("hosts: empty, though executors were listed")
        given.endpoints = self._usable(given.endpoints)
        self._apply(given)
        left = sorted(live - self._live())
        if left:
            self._log("endpoints-draining", count=len(left), names=left[:_NAMED], version=given.version)
        if given.is_complete or given.endpoints:
            self._engine.on_endpoint_list(
                ListKind.SNAPSHOT if given.is_complete else ListKind.DELTA, self._entries(given.endpoints)
            )

    def _live(self) -> set[str]:
        return {name for name, each in self._targets.items() if each.state is EndpointState.LIVE}

    def _usable(self, hosts: list[DiscoveredEndpoint]) -> list[DiscoveredEndpoint]:
        """The entries that can be meant, one a host.

        Guards the drain rule: one bad entry must not keep the others' drains from being heard, nor undo one.
        """
        found: dict[str, DiscoveredEndpoint] = {}
        faults: list[str] = []
        for number, host in enumerate(hosts):
            before = found.get(host.name)
            if before is not None:
                faults.append(f"hosts[{number}].host: {host.name!r} is there twice")
                if (host.started_unix_ms, _leaves(host)) <= (before.started_unix_ms, _leaves(before)):
                    continue
            elif not _leaves(host):
                fault = _fault(host, self._hosts)
                if fault:
                    faults.append(f"hosts[{number}].{fault}")
                    if host.name in self._hosts:
                        found[host.name] = self._hosts[host.name]
                    continue
            found[host.name] = host
        if faults:
            self._log("endpoint-list-invalid-entries", error=faults[0], count=len(faults))
        return list(found.values())

    def _apply(self, given: DiscoveredList) -> None:
        if given.is_complete:
            names = {host.name for host in given.endpoints}
            for name in [name for name in self._targets if name not in names]:
                self._pool.close_idle_to(self._targets.pop(name).address)
                self._hosts.pop(name, None)
        older = self.version is not None and given.version < self.version
        for number, host in enumerate(given.endpoints):
            old = self._targets.get(host.name)
            state = _listed(host)
            if (
                older
                and old is not None
                and old.started_unix_ms == host.started_unix_ms
                and old.state is not EndpointState.LIVE
            ):
                # Guards the drain rule: a list from before a drain was told does not undo it.
                state = old.state
                given.endpoints[number] = msgspec.structs.replace(host, health=_HEALTH[state])
            new = ListedEndpoint(host.address or (old.address if old else ""), state, host.started_unix_ms)
            if old is not None and (new.address, new.started_unix_ms) != (old.address, old.started_unix_ms):
                # A process that has started anew knows nothing of the old one's connections.
                self._pool.close_idle_to(old.address)
            # One that is gone keeps its address, so that what it still holds can be given up there.
            self._targets[host.name] = new
            self._hosts[host.name] = given.endpoints[number]
        self.version = given.version

    def _entries(self, hosts: list[DiscoveredEndpoint]) -> list[EndpointEntry]:
        return [
            EndpointEntry(
                endpoint=host.name,
                state=self._state(host),
                zone=host.zone,
                weight=host.weight,
                cell=host.cell,
                kind=host.kind,
                started_at=self._from_unix(
                    max(host.started_unix_ms, self.overrides.enabled_since.get(host.name, 0.0))
                ),
            )
            for host in hosts
        ]

    def _state(self, host: DiscoveredEndpoint) -> EndpointState:
        state = _listed(host)
        return (
            EndpointState.DRAINING
            if state is EndpointState.LIVE and host.name in self.overrides.disabled_since
            else state
        )
