"""Troubles as data: what goes wrong, with whom, when; read from INI, drawn, written to play again.

Pure: `effects` says what is wrong between parties at a moment, all others are events with a beginning and
an end. Times are seconds from the beginning of the load.
"""

from __future__ import annotations

import configparser
import random
from collections.abc import Callable, Sequence
from fnmatch import fnmatchcase
from io import StringIO
from typing import Literal

import msgspec

# Between parties; `repeat` and `reorder` are for datagrams alone, `reset` and `throttle` for connections.
LINK = ("cut", "delay", "drop", "reset", "stall", "throttle", "corrupt", "repeat", "reorder")
NODES = ("kill", "stop", "term")
EXECUTORS = ("die", "drain", "still", "slow", "fail")
DISCOVERY = ("late", "down", "silent", "broken")
KINDS = (*LINK, *NODES, *EXECUTORS, *DISCOVERY)
Direction = Literal["both", "forward", "back"]


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that goes wrong, from `at` for `lasts` seconds, with the nodes and executors that are named.

    Names are globs, several with commas, or a share of all (`30%`, drawn from the schedule's seed), or
    `zone:a`. `peers` are the other nodes of links between nodes. `direction` is forward from nodes to
    executors (or from `nodes` to `peers`). `size` is ms for delay, late and reorder, the share hit for
    drop, reset, corrupt and repeat, bytes a second for throttle, and how many times slower for slow.
    """

    what: str
    at: float
    lasts: float
    nodes: str = ""
    executors: str = ""
    peers: str = ""
    direction: Direction = "both"
    size: float = 0.0
    told: float = 1.0  # seconds until discovery tells that an executor has died
    over: float = 0.0  # one after another within so many seconds, rather than all at once
    back: float = 0.0  # nodes that were ended start again within so many seconds, one after another

    @property
    def until(self) -> float:
        """When it is over for the first that it befalls."""
        return self.at + self.lasts

    @property
    def past(self) -> float:
        """When it is over for all."""
        return self.until + self.over + self.back


class Schedule(msgspec.Struct, frozen=True):
    """All that goes wrong in a run."""

    seed: int
    troubles: tuple[Trouble, ...] = ()

    def written(self) -> str:
        """The schedule as an INI file that reads back the same."""
        usual = msgspec.to_builtins(Trouble(what="cut", at=0.0, lasts=0.0))
        lines = ["[schedule]", f"seed = {self.seed}", ""]
        for number, trouble in enumerate(self.troubles):
            lines.append(f"[trouble {number + 1}]")
            given = msgspec.to_builtins(trouble)
            shown = {k: v for k, v in given.items() if k in ("what", "at", "lasts") or v != usual[k]}
            lines += [f"{name} = {value}" for name, value in shown.items()] + [""]
        return "\n".join(lines)


def read(text: str) -> Schedule:
    """A schedule from INI; ValueError in one line that names section and key."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_file(StringIO(text))
    except configparser.Error as error:
        raise ValueError(str(error).replace("\n", " ")) from None
    seed, troubles = 0, []
    for section in parser.sections():
        given = dict(parser.items(section))
        if section == "schedule":
            try:
                seed = int(given.pop("seed", "0"))
            except ValueError:
                raise ValueError("schedule: seed is no number") from None
            if given:
                raise ValueError(f"schedule: {min(given)} is no key of this section")
        elif section.startswith("trouble"):
            troubles.append(_trouble(section, given))
        else:
            raise ValueError(f"{section}: no such section")
    return Schedule(seed, tuple(troubles))


def _trouble(section: str, given: dict[str, str]) -> Trouble:
    known = Trouble.__struct_fields__
    for name in given:
        if name not in known:
            raise ValueError(f"{section}: {name} is no key of a trouble")
    try:
        made = msgspec.convert(given, Trouble, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(f"{section}: {error}") from None
    if made.what not in KINDS:
        raise ValueError(f"{section}: what: {made.what!r} is none of {', '.join(KINDS)}")
    if not (0.0 <= made.at < 1e6 and 0.0 <= made.lasts < 1e6):
        raise ValueError(f"{section}: at and lasts are seconds from 0 on")
    if min(made.size, made.over, made.told, made.back) < 0.0:
        raise ValueError(f"{section}: size, over, told and back are not below 0")
    needs = "executors" if made.what in EXECUTORS else "nodes"
    if not getattr(made, needs):
        raise ValueError(f"{section}: {made.what} needs {needs}")
    return made


def chosen(names: Sequence[str], zones: Sequence[str], told: str, seed: int) -> list[int]:
    """The numbers of those that a selector names."""
    found: set[int] = set()
    for part in (each.strip() for each in told.split(",")):
        if part.endswith("%") and part[:-1].replace(".", "", 1).isdigit():
            count = round(len(names) * float(part[:-1]) / 100.0)
            found |= set(random.Random(f"{seed}:{part}").sample(range(len(names)), min(count, len(names))))
        elif part.startswith("zone:"):
            found |= {number for number, zone in enumerate(zones) if zone == part[5:]}
        elif part:
            found |= {number for number, name in enumerate(names) if fnmatchcase(name, part)}
    return sorted(found)


def draw(seed: int, seconds: float, count: int) -> Schedule:
    """Troubles of all sorts, one after another with time to heal between, from one seed."""
    rng = random.Random(seed)
    kinds: list[Callable[[float, float], Trouble]] = [
        lambda at, lasts: Trouble(what="kill", at=at, lasts=lasts, nodes=f"{rng.choice([20, 40, 70])}%"),
        lambda at, lasts: Trouble(what="stop", at=at, lasts=min(lasts, 3.0), nodes="10%"),
        lambda at, lasts: Trouble(
            what="die", at=at, lasts=lasts, executors="10%", told=rng.uniform(0.2, 2.0)
        ),
        lambda at, lasts: Trouble(what="drain", at=at, lasts=lasts, executors="15%", over=lasts),
        lambda at, lasts: Trouble(what="fail", at=at, lasts=lasts, executors="2%"),
        lambda at, lasts: Trouble(what="still", at=at, lasts=lasts, executors="4%"),
        lambda at, lasts: Trouble(what="cut", at=at, lasts=lasts, nodes="50%", executors="20%"),
        lambda at, lasts: Trouble(what="late", at=at, lasts=lasts, nodes="50%", size=2000.0),
        lambda at, lasts: Trouble(what="delay", at=at, lasts=lasts, nodes="30%", executors="30%", size=40.0),
    ]
    step = seconds / (count + 1)
    picked = rng.sample(kinds, min(count, len(kinds)))
    made: list[Trouble] = [kind(step * (n + 0.7), 0.4 * step) for n, kind in enumerate(picked)]
    rounded = [msgspec.structs.replace(t, at=round(t.at, 2), lasts=round(t.lasts, 2)) for t in made]
    return Schedule(seed, tuple(rounded))


class Effect(msgspec.Struct, frozen=True):
    """What is wrong on one link now, in each direction; a relay or the switch carries it out."""

    what: str
    nodes: frozenset[int]
    others: frozenset[int] | None  # executors, or other nodes; None: all
    direction: Direction = "both"
    size: float = 0.0

    def meets(self, node: int, other: int, forward: bool) -> bool:
        """Whether it is so on this link, this way."""
        way = self.direction == "both" or (self.direction == "forward") == forward
        return way and node in self.nodes and (self.others is None or other in self.others)


def effects(
    schedule: Schedule,
    now: float,
    nodes: tuple[Sequence[str], Sequence[str]],
    executors: tuple[Sequence[str], Sequence[str]],
    between_nodes: bool,
) -> list[Effect]:
    """What is wrong on links at a moment; names and zones of nodes and of executors are given."""
    found = []
    for trouble in schedule.troubles:
        if trouble.what not in LINK or bool(trouble.peers) != between_nodes:
            continue
        if not trouble.at <= now < trouble.until:
            continue
        sides, told = (nodes, trouble.peers) if between_nodes else (executors, trouble.executors)
        others = frozenset(chosen(*sides, told, schedule.seed)) if told else None
        some = frozenset(chosen(*nodes, trouble.nodes, schedule.seed))
        found.append(Effect(trouble.what, some, others, trouble.direction, trouble.size))
    return found
