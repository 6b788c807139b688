"""One run: processes started, troubles caused in their time, ledgers gathered, everything ended."""

from __future__ import annotations

import json
import os
import signal
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from pathlib import Path

import msgspec
import psutil
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.event_record import AttemptRecord, RequestRecord
from burlmoor.testbed.fleet import addresses, clients, executors, tcp_relay
from burlmoor.testbed.fleet.child_process import Child
from burlmoor.testbed.fleet.faults import DISCOVERY, EXECUTORS, LINK, NODES, Trouble, chosen, effects
from burlmoor.testbed.fleet.load import Load, mean_cost
from burlmoor.testbed.fleet.record import Plan, Record, Span, Used
from burlmoor.testbed.job_classes import JOB_CLASSES, platform_settings
from burlmoor.testbed.local_cluster import executor_specs, total_capacity
from burlmoor.testbed.node_process import inherited_environment, send_http_request

_READY, _PARTY = 90.0, 20.0  # seconds until all nodes, and any other party, must be up
_LEAD = 1.0  # seconds from when all are ready until the load begins
_AFTER = 2.0  # seconds beyond the longest patience until clients must be done
_FAR = 3  # cores kept for the far sides, where there are twice as many and more
_TAIL = 2000  # characters of a log that are told where a party has failed
_SMALL = 40  # nodes up to which one process of each sort bears their far sides
_STOP = 15.0  # seconds that nodes have to end in


class Parts(msgspec.Struct):
    """How many processes of each sort stand round the nodes."""

    relays: int = 2
    executors: int = 3
    clients: int = 2

    @classmethod
    def round(cls, nodes: int) -> Parts:
        """What a drill of so many nodes needs: a small one is to leave the machine to its nodes."""
        return cls() if nodes > _SMALL else cls(relays=1, executors=1, clients=1)


class Fleet:
    """Owns all processes of one run. `say` hears a line of progress at a time."""

    def __init__(self, plan: Plan, folder: Path, say: Callable[[str], None] = lambda _: None) -> None:
        self.plan, self._folder, self._say = plan, folder, say
        folder.mkdir(parents=True, exist_ok=True)
        self.ports = addresses.free_ports()
        specs = executor_specs(plan.executors)
        scale = plan.load * total_capacity(specs) * 1000.0 / (plan.rate * mean_cost())
        load = Load(
            plan.rate, plan.seconds, plan.nodes, plan.seed, scale, plan.skew, plan.loud, plan.hot, plan.keys
        )
        zones = "abcdefgh"[: plan.zones]
        self.record = Record(
            plan, load, specs,
            [zones[n % plan.zones] for n in range(plan.nodes)],
            [zones[n % plan.zones] for n in range(plan.executors)],
            0.0,
        )  # fmt: skip
        self._names = self.record.node_names()
        self._numbers = {name: number for number, name in enumerate(specs)}
        self._nodes: dict[int, Child] = {}
        self._away: set[int] = set()  # nodes that were ended on purpose
        self._parties: dict[str, list[Child]] = {"relay": [], "switch": [], "executors": [], "clients": []}
        # Hundreds that start at once must not keep the far sides, whose rows count, from their work; nice
        # does not help where each session is scheduled as a group.
        cores = sorted(os.sched_getaffinity(0))
        shared = len(cores) < 2 * _FAR
        self._node_cores = frozenset() if shared else frozenset(cores[_FAR:])
        self._far_cores = frozenset() if shared else frozenset(cores[:_FAR])
        self._known: dict[str, object] = {}
        self._discovery: DiscoveryService
        self._addresses: list[str] = []

    async def run(self, parts: Parts | None = None) -> Record:
        """Play the whole run; the record. Everything is over when it returns, whatever it returns with."""
        parts = parts or Parts()
        try:
            async with trio.open_nursery() as nursery:
                self._discovery = DiscoveryService(nursery)
                await self._stand_ins(parts)
                began = time.monotonic()
                await self._start_nodes(range(self.plan.nodes))
                self.record.started = time.monotonic() - began
                self._say(f"{self.plan.nodes} nodes ready after {self.record.started:.1f} s")
                await self._play(parts)
                await self._gather()
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                for child in self._children():
                    await child.end()
        return self.record

    def _children(self) -> Iterable[Child]:
        yield from self._nodes.values()
        for party in self._parties.values():
            yield from party

    # --- starting -------------------------------------------------------------------------------

    def _party(self, sort: str, module: str, plan: msgspec.Struct) -> Child:
        number = len(self._parties[sort])
        child = Child(
            ["-m", f"burlmoor.testbed.fleet.{module}"],
            self._folder / f"{sort}-{number}.log",
            talks=True,
            cores=self._far_cores,
        )
        self._parties[sort].append(child)
        child.tell(plan)
        return child

    def _failed(self, sort: str, what: str) -> RuntimeError:
        """Say it with the end of what that sort has logged: the folder may be gone later."""
        logs = "".join(path.read_text()[-_TAIL:] for path in sorted(self._folder.glob(f"{sort}-*.log")))
        return RuntimeError(f"a process of {sort} {what}\n{logs}")

    async def _stand_ins(self, parts: Parts) -> None:
        record, ports = self.record, self.ports
        for number in range(parts.relays):
            self._party("relay", "tcp_relay", tcp_relay.Plan(ports, self.plan.seed * 10 + number))
        if any(trouble.peers for trouble in self.plan.schedule.troubles):
            self._party("switch", "datagram_switch", tcp_relay.Plan(ports, self.plan.seed))
        names, shares = record.names(), max(1, min(parts.executors, self.plan.executors))
        for number in range(shares):
            own = {name: record.specs[name] for name in names[number::shares]}
            ledger = str(self._folder / f"ran-{number}.json")
            self._party("executors", "executors", executors.Plan(ports, own, self._numbers, ledger))
        for sort in ("relay", "switch", "executors"):
            for child in self._parties[sort]:
                if not await child.said(_PARTY):
                    raise self._failed(sort, "did not start")
        for number, name in enumerate(self._names):
            dials = {
                n: f"{addresses.link(number, e)}:{self.ports.forwards}" for n, e in self._numbers.items()
            }
            self._addresses.append(await self._discovery.listen_for_node(name, dials))
        for name, zone in zip(names, record.executor_zones, strict=True):
            # Its size, as the baselines know it, too.
            self._discovery.set_entry(name, site=zone, share=record.specs[name].capacity)
        self._known = {name: self._discovery.full_list(name) for name in self._names}

    def _start_node(self, number: int) -> None:
        name, folder = self._names[number], self._folder / self._names[number]
        folder.mkdir(exist_ok=True)
        ports, here = self.ports, addresses.node(number)
        zone = self.record.node_zones[number]
        given = {
            "name": name, "listen": f"{here}:{ports.clients}", "control": f"{here}:{ports.control}",
            "discovery": self._addresses[number], "seed": f"{self.plan.seed:04x}{number:04x}",
            "settings": {**platform_settings(JOB_CLASSES, self.plan.nodes, zone), "Me": number},
            # A restart goes on from the list as it was when the run began.
            "known": self._known[name], "limits": {"sockets": 1024},
        }  # fmt: skip
        path = folder / "config.json"
        path.write_text(json.dumps(given))
        sabotage = self.plan.sabotage
        command = ["-m", "burlmoor"] if sabotage is None else ["-m", "burlmoor.testbed.mutations", sabotage]
        environment = {**inherited_environment(), "RELAY_CONFIG": str(path), "TMPDIR": str(folder)}
        self._discovery.on_node_started(name)
        self._nodes[number] = Child(command, folder / "log", environment, cores=self._node_cores)
        self._away.discard(number)

    async def _start_nodes(self, numbers: Iterable[int]) -> None:
        """Start nodes all at once, and wait until each takes jobs."""
        numbers = list(numbers)
        for number in numbers:
            self._start_node(number)
        with trio.fail_after(_READY):
            async with trio.open_nursery() as nursery:
                for number in numbers:
                    nursery.start_soon(self._until_ready, number)

    async def _until_ready(self, number: int) -> None:
        address = (addresses.node(number), self.ports.clients)
        while True:
            with suppress(OSError):
                if (await send_http_request(address, "GET", "/health/ready")).status == 200:
                    return
            if not self._nodes[number].running and number not in self._away:
                raise RuntimeError(
                    f"{self._names[number]} ended with {self._nodes[number].status}; "
                    f"its log is in {self._folder / self._names[number]}"
                )
            await trio.sleep(0.2)

    # --- the load and the troubles --------------------------------------------------------------

    async def _play(self, parts: Parts) -> None:
        record = self.record
        record.begin = now_ms() + _LEAD * 1000.0
        for part in range(parts.clients):
            ledger = str(self._folder / f"asked-{part}.json")
            plan = clients.Plan(self.ports, record.load, part, parts.clients, record.begin, ledger)
            self._party("clients", "clients", plan)
        await trio.sleep(_LEAD)
        psutil.cpu_percent()
        async with trio.open_nursery() as troubles:
            for trouble in self.plan.schedule.troubles:
                troubles.start_soon(self._cause, trouble)
            troubles.start_soon(self._change_links)
            for second in range(int(self.plan.seconds)):
                await self._until(second + 1.0)
                if (second + 1) % 10 == 0:
                    self._say(f"{second + 1} of {self.plan.seconds:.0f} s")
        record.cpus = psutil.cpu_percent() / 100.0 * (psutil.cpu_count() or 1)
        patience = max(kind.timeout_ms for kind in JOB_CLASSES) / 1000.0
        for child in self._parties["clients"]:
            if not await child.said(patience + _AFTER + 10.0):
                raise self._failed("clients", f"did not finish ({child.status})")

    async def _until(self, at: float) -> None:
        await trio.sleep(max(0.0, (self.record.begin - now_ms()) / 1000.0 + at))

    async def _cause(self, trouble: Trouble) -> None:
        what = trouble.what
        seed, record = self.plan.schedule.seed, self.record
        nodes = chosen(self._names, record.node_zones, trouble.nodes, seed)
        hosts = chosen(record.names(), record.executor_zones, trouble.executors, seed)
        if what in LINK:
            until = record.begin + trouble.until * 1000.0
            record.spans.append(Span(what, "links", record.begin + trouble.at * 1000.0, until))
            return
        one: Callable[[Trouble, int], Awaitable[None]]
        if what in NODES:
            one, numbers = self._node_trouble, nodes
        elif what in EXECUTORS:
            one, numbers = self._executor_trouble, hosts
        else:
            assert what in DISCOVERY
            one, numbers = self._discovery_trouble, nodes
        async with trio.open_nursery() as nursery:
            for place, number in enumerate(numbers):
                at = trouble.at + trouble.over * place / len(numbers)
                lasts = trouble.lasts + trouble.back * place / len(numbers)
                moved = msgspec.structs.replace(trouble, at=at, lasts=lasts)
                nursery.start_soon(one, moved, number)

    async def _node_trouble(self, trouble: Trouble, number: int) -> None:
        await self._until(trouble.at)
        since, child = now_ms(), self._nodes[number]
        span = Span(trouble.what, self._names[number], since, since + trouble.lasts * 1000.0)
        self.record.spans.append(span)
        if trouble.what == "stop":
            child.signal(signal.SIGSTOP)
            await self._until(trouble.until)
            child.signal(signal.SIGCONT)
        else:
            self._away.add(number)
            child.signal(signal.SIGKILL if trouble.what == "kill" else signal.SIGTERM)
            if not await child.ended(_STOP):
                self.record.ended[f"{self._names[number]} on {trouble.what}"] = 1
                child.signal(signal.SIGKILL)
                await child.ended(5.0)
            if trouble.what == "term" and child.status:
                self.record.ended[f"{self._names[number]} on term"] = child.status
            await self._until(trouble.until)
            self._start_node(number)
            with trio.move_on_after(_READY):
                await self._until_ready(number)
        span.until = now_ms()

    async def _executor_trouble(self, trouble: Trouble, number: int) -> None:
        await self._until(trouble.at)
        name, since, what = self.record.names()[number], now_ms(), trouble.what
        span = Span(what, name, since, since + trouble.lasts * 1000.0)
        self.record.spans.append(span)
        if what in ("die", "drain"):
            if what == "drain":
                self._discovery.set_entry(name, health="leaving")
                await trio.sleep(0.1)
                self._order("hand_back", name)
                await self._until(trouble.until)
            self._order("die", name)
            if what == "die":
                await trio.sleep(trouble.told)
                self._discovery.set_entry(name, health="left")
                await self._until(trouble.until)
            self._order("back", name)
            self._discovery.set_entry(name, health="active", born_ms=time.time() * 1000.0)
        else:
            self._order(what, name, max(1.0, trouble.size))
            await self._until(trouble.until)
            self._order(what, name, 0.0)
        span.until = now_ms()

    def _order(self, do: str, name: str, size: float = 0.0) -> None:
        order = msgspec.convert({"do": do, "name": name, "size": size}, executors.Order)
        party = self._parties["executors"]
        party[self._numbers[name] % len(party)].tell(order)

    async def _discovery_trouble(self, trouble: Trouble, number: int) -> None:
        await self._until(trouble.at)
        name, since = self._names[number], now_ms()
        self.record.spans.append(Span(trouble.what, name, since, since + trouble.lasts * 1000.0))
        if trouble.what == "late":
            self._discovery.delay_ms_by_node[name] = trouble.size
            await self._until(trouble.until)
            self._discovery.delay_ms_by_node.pop(name, None)
        elif trouble.what == "silent":
            self._discovery.stall_watches(name)
        elif trouble.what == "broken":
            self._discovery.reset_watches(name)
        else:
            self._discovery.down = True
            await self._until(trouble.until)
            self._discovery.down = False

    async def _change_links(self) -> None:
        schedule, record = self.plan.schedule, self.record
        links = [each for each in schedule.troubles if each.what in LINK]
        sides = (self._names, record.node_zones), (record.names(), record.executor_zones)
        for at in sorted({t for each in links for t in (each.at, each.until)}):
            await self._until(at)
            for sort, between in (("relay", False), ("switch", True)):
                told = effects(schedule, at, *sides, between_nodes=between)
                for child in self._parties[sort]:
                    child.tell(told)

    # --- ending ---------------------------------------------------------------------------------

    async def _gather(self) -> None:
        record = self.record
        for number, child in self._nodes.items():
            name = self._names[number]
            if not child.running:
                record.ended[name] = child.status or 0
                continue
            with suppress(psutil.Error):
                process = psutil.Process(child.pid)
                times = process.cpu_times()
                record.used[name] = Used(times.user + times.system, process.memory_info().rss)
        for child in self._parties["executors"]:
            child.tell(executors.Order("end"))
        for child in self._parties["executors"]:
            if not await child.said(_PARTY):
                raise self._failed("executors", "did not write their ledger")
        for child in self._nodes.values():
            child.signal(signal.SIGTERM)
        async with trio.open_nursery() as nursery:
            for number in self._nodes:
                nursery.start_soon(self._stopped, number)
        record.heard = list(self._discovery.notifications)
        for path in sorted(self._folder.glob("ran-*.json")):
            record.ran += msgspec.json.decode(path.read_bytes(), type=list[AttemptRecord])
            path.unlink()
        for path in sorted(self._folder.glob("asked-*.json")):
            told = msgspec.json.decode(path.read_bytes(), type=_Answers)
            record.asked += told.asked
            record.behind = max(record.behind, told.behind)
            path.unlink()

    async def _stopped(self, number: int) -> None:
        child, name = self._nodes[number], self._names[number]
        if not await child.ended(_STOP):
            self.record.ended[f"{name} at the end"] = 1
        elif child.status:
            self.record.ended.setdefault(name, child.status)


class _Answers(msgspec.Struct):
    asked: list[RequestRecord]
    behind: float
