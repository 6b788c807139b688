"""What operators have set by hand: carried out here, and kept in a file for the process that comes next."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from burlmoor.core import Say
from burlmoor.net.control import NAMED, Call, Result
from burlmoor.net.serving import Service, Serving
from burlmoor.net.target_group import ByHand, TargetGroup

SHOWN = frozenset(("/waiting",))  # calls that only show what a subsystem does


class ByHandSet(msgspec.Struct):
    """All that is set by hand."""

    executors: ByHand = msgspec.field(default_factory=ByHand)
    drained: bool = False


class Desk:
    """Owns the operators' calls and the file of what they have set (None: kept in memory only)."""

    def __init__(self, group: TargetGroup, service: Service, path: Path | None, say: Say) -> None:
        self._group, self._service, self._path, self._say = group, service, path, say
        self.serving = False  # whether this process accepts clients
        self._inherited = False  # whether the drain was there when this process took over
        self.shown: dict[str, Callable[[], Awaitable[dict[str, Any]]]] = {}  # by subsystems that are on
        # What tells the other process of the node, if there is one, of a call that was carried out here.
        self.elsewhere: Callable[[Call], Awaitable[None]] | None = None

    async def obey(self, call: Call) -> Result:
        """Carry out a call; a no has changed nothing."""
        if call.path == "/ready":
            # Guards against an upgrade of a drained node that never ends: its old process waits for this yes.
            inherited = self._inherited and not self._service.stopping
            ready = self.serving and (self._service.state is Serving.OPEN or inherited)
            return Result(200 if ready else 503, self._shown(ready))
        if call.path in SHOWN:
            show = self.shown.get(call.path)
            return Result(200, await show()) if show else Result(404, {"error": "this is off here"})
        if call.path in NAMED and not self._group.knows(call.name):
            return Result(404, {"error": "no executor has this name"})
        self.apply(call)
        self._save()
        self._say("by-hand", call=call.path, name=call.name)
        if self.elsewhere is not None:
            # A yes holds for the whole node: the other process may still send, too.
            await self.elsewhere(call)
        return Result(200, self._shown(self._service.state is Serving.OPEN))

    def apply(self, call: Call) -> None:
        """What a call sets holds from now on, whether the list has the executor or not."""
        match call.path:
            case "/executors/disable":
                self._group.take_out(call.name)
            case "/executors/enable":
                self._group.put_back(call.name)
            case "/drain":
                self._inherited = False
                self._service.drain()
            case "/undrain":
                self._inherited = False
                self._service.undrain()

    def _shown(self, ready: bool) -> dict[str, object]:
        drained, out = self._service.drained, sorted(self._group.by_hand.out)
        return {"ready": ready, "state": self._service.state.name.lower(), "drained": drained, "out": out}

    def restore(self) -> None:
        """Take up what the file says was set; one that cannot be meant is logged and left alone."""
        if self._path is None or not self._path.exists():
            return
        try:
            self.take_up(msgspec.json.decode(self._path.read_bytes(), type=ByHandSet))
        except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            # Guards the start: a node that can't read what was set still serves.
            self._say("by-hand-unread", path=self._path.name, error=str(error))

    def take_up(self, given: ByHandSet) -> None:
        """What is given holds from now on."""
        self._group.set_by_hand(given.executors)
        self._inherited = given.drained
        if given.drained:
            self._service.drain()
        else:
            self._service.undrain()

    @property
    def set(self) -> ByHandSet:
        """All that is set now."""
        return ByHandSet(self._group.by_hand, self._service.drained)

    def _save(self) -> None:
        if self._path is None:
            return
        fresh = self._path.with_name(f"{self._path.name}.{os.getpid()}")  # the other process writes its own
        try:
            # Replaced in one step: a process that ends here leaves the old file or the new one, whole.
            fresh.write_bytes(msgspec.json.encode(self.set))
            os.replace(fresh, self._path)
        except OSError as error:
            self._say("by-hand-unsaved", path=self._path.name, error=str(error))
            with suppress(OSError):
                fresh.unlink()
