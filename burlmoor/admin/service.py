"""What operators have set by hand: carried out here, and kept in a file for the process that comes next."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from burlmoor.admin.server import NAMED, AdminRequest, AdminResponse
from burlmoor.downstream.drain import DrainController, ServiceState
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.overrides import EndpointOverrides
from burlmoor.log import EventLogger

# As the operators' page gives them.
_STATE_NAMES = {
    ServiceState.ACCEPTING: "open",
    ServiceState.UNREADY: "away",
    ServiceState.CLOSING: "closing",
    ServiceState.REJECTING: "refusing",
}
SHOWN = frozenset(("/waiting",))  # calls that only show what a subsystem does


class Overrides(msgspec.Struct):
    """All that is set by hand."""

    endpoints: EndpointOverrides = msgspec.field(name="executors", default_factory=EndpointOverrides)
    is_drained: bool = msgspec.field(name="drained", default=False)


class AdminService:
    """Owns the operators' calls and the file of what they have set (None: kept in memory only)."""

    def __init__(
        self, directory: EndpointDirectory, drain: DrainController, path: Path | None, log: EventLogger
    ) -> None:
        self._directory, self._drain, self._path, self._log = directory, drain, path, log
        self.is_serving = False  # whether this process accepts clients
        self._inherited = False  # whether the drain was there when this process took over
        self.status_providers: dict[
            str, Callable[[], Awaitable[dict[str, Any]]]
        ] = {}  # by subsystems that are on
        # What tells the other process of the node, if there is one, of a call that was carried out here.
        self.forward_to_peer: Callable[[AdminRequest], Awaitable[None]] | None = None

    async def handle(self, call: AdminRequest) -> AdminResponse:
        """Carry out a call; a no has changed nothing."""
        if call.path == "/ready":
            # Guards against an upgrade of a drained node that never ends: its old process waits for this yes.
            inherited = self._inherited and not self._drain.is_shutting_down
            ready = self.is_serving and (self._drain.state is ServiceState.ACCEPTING or inherited)
            return AdminResponse(200 if ready else 503, self._shown(ready))
        if call.path in SHOWN:
            show = self.status_providers.get(call.path)
            return (
                AdminResponse(200, await show())
                if show
                else AdminResponse(404, {"error": "this is off here"})
            )
        if call.path in NAMED and not self._directory.is_known(call.name):
            return AdminResponse(404, {"error": "no executor has this name"})
        self.apply(call)
        self._save()
        self._log("override-applied", call=call.path, name=call.name)
        if self.forward_to_peer is not None:
            # A yes holds for the whole node: the other process may still send, too.
            await self.forward_to_peer(call)
        return AdminResponse(200, self._shown(self._drain.state is ServiceState.ACCEPTING))

    def apply(self, call: AdminRequest) -> None:
        """What a call sets holds from now on, whether the list has the executor or not."""
        match call.path:
            case "/executors/disable":
                self._directory.disable(call.name)
            case "/executors/enable":
                self._directory.enable(call.name)
            case "/drain":
                self._inherited = False
                self._drain.begin_drain()
            case "/undrain":
                self._inherited = False
                self._drain.end_drain()

    def _shown(self, ready: bool) -> dict[str, object]:
        drained, out = self._drain.is_drained, sorted(self._directory.overrides.disabled_since)
        return {"ready": ready, "state": _STATE_NAMES[self._drain.state], "drained": drained, "out": out}

    def load(self) -> None:
        """Take up what the file says was set; one that cannot be meant is logged and left alone."""
        if self._path is None or not self._path.exists():
            return
        try:
            self.replace(msgspec.json.decode(self._path.read_bytes(), type=Overrides))
        except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            # Guards the start: a node that can't read what was set still serves.
            self._log("override-load-failed", path=self._path.name, error=str(error))

    def replace(self, given: Overrides) -> None:
        """What is given holds from now on."""
        self._directory.set_overrides(given.endpoints)
        self._inherited = given.is_drained
        if given.is_drained:
            self._drain.begin_drain()
        else:
            self._drain.end_drain()

    @property
    def overrides(self) -> Overrides:
        """All that is set now."""
        return Overrides(self._directory.overrides, self._drain.is_drained)

    def _save(self) -> None:
        if self._path is None:
            return
        fresh = self._path.with_name(f"{self._path.name}.{os.getpid()}")  # the other process writes its own
        try:
            # Replaced in one step: a process that ends here leaves the old file or the new one, whole.
            fresh.write_bytes(msgspec.json.encode(self.overrides))
            os.replace(fresh, self._path)
        except OSError as error:
            self._log("override-save-failed", path=self._path.name, error=str(error))
            with suppress(OSError):
                fresh.unlink()
