"""Handles the operators' requests: endpoint overrides, drains, and queries of the node's state."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from burlmoor.admin.overrides import Overrides, OverridesFile
from burlmoor.admin.requests import AdminPath, AdminRequest, AdminResponse, NodeStatus, reject
from burlmoor.downstream.drain import DrainController, ServiceState
from burlmoor.log_events import OverrideApplied

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.list_updater import EndpointListUpdater
    from burlmoor.log import EventLogger

# The states' names in responses, as documented in docs/on-call.md.
_STATE_NAMES = {
    ServiceState.ACCEPTING: "open",
    ServiceState.UNREADY: "away",
    ServiceState.CLOSING: "closing",
    ServiceState.REJECTING: "refusing",
}

StatusProvider = Callable[[], Awaitable[dict[str, Any]]]
OverrideForwarder = Callable[[AdminRequest], Awaitable[None]]


class AdminService:
    """Owns the overrides file and the readiness of this process."""

    def __init__(
        self,
        directory: EndpointDirectory,
        endpoint_updater: EndpointListUpdater,
        drain: DrainController,
        path: Path | None,
        log: EventLogger,
    ) -> None:
        self._directory = directory
        self._endpoint_updater = endpoint_updater
        self._drain = drain
        self._file = OverridesFile(path, log)
        self._log = log
        self._has_inherited_drain = False  # whether the drain began before this process started
        self._is_serving = False
        self._forward_override: OverrideForwarder | None = None
        self._status_providers: dict[AdminPath, StatusProvider] = {}

    @property
    def is_serving(self) -> bool:
        """Whether this process accepts clients."""
        return self._is_serving

    def on_serving_changed(self, *, is_serving: bool) -> None:
        """Record whether this process accepts clients; if not, another process of the node does."""
        self._is_serving = is_serving

    def attach_override_forwarder(self, forward: OverrideForwarder) -> None:
        """Set the function that sends each applied override to the node's other processes."""
        self._forward_override = forward

    def attach_status_provider(self, path: AdminPath, provider: StatusProvider) -> None:
        """Return the status of a subsystem to requests for this path."""
        self._status_providers[path] = provider

    def detach_status_provider(self, path: AdminPath) -> None:
        """Reject requests for this path, since its subsystem is off."""
        self._status_providers.pop(path, None)

    async def handle(self, request: AdminRequest) -> AdminResponse:
        """Handle a request; a rejected request changes nothing."""
        if request.path is AdminPath.READY:
            return self._check_readiness()
        if request.path.is_query:
            return await self._get_subsystem_status(request.path)
        if request.path.names_executor and not self._directory.is_known(request.name):
            return reject(HTTPStatus.NOT_FOUND, f"unknown executor {request.name!r}")
        self.apply_override(request)
        self._file.save(self.overrides)
        self._log(OverrideApplied(call=request.path, name=request.name))
        if self._forward_override is not None:
            # A successful response must hold for the whole node, and its other processes may still send jobs.
            await self._forward_override(request)
        return AdminResponse(
            HTTPStatus.OK, self._status(is_ready=self._drain.state is ServiceState.ACCEPTING)
        )

    def _check_readiness(self) -> AdminResponse:
        # A process that inherited its drain counts as ready. Otherwise the upgrade of a drained node would
        # never complete, since the old process waits until the new one is ready.
        is_drain_expected = self._has_inherited_drain and not self._drain.is_shutting_down
        is_ready = self._is_serving and (self._drain.state is ServiceState.ACCEPTING or is_drain_expected)
        return AdminResponse(
            HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE, self._status(is_ready=is_ready)
        )

    async def _get_subsystem_status(self, path: AdminPath) -> AdminResponse:
        provider = self._status_providers.get(path)
        if provider is None:
            return reject(HTTPStatus.NOT_FOUND, f"the subsystem of {path} is not enabled on this node")
        return AdminResponse(HTTPStatus.OK, await provider())

    def _status(self, *, is_ready: bool) -> NodeStatus:
        disabled = sorted(self._directory.overrides.disabled_since)
        return NodeStatus(is_ready, _STATE_NAMES[self._drain.state], self._drain.is_drain_requested, disabled)

    def apply_override(self, request: AdminRequest) -> None:
        """Apply the override that a request sets, even for an executor that is not in the endpoint list.

        A request that only reads state has no effect.
        """
        match request.path:
            case AdminPath.DISABLE_EXECUTOR:
                self._endpoint_updater.disable(request.name)
            case AdminPath.ENABLE_EXECUTOR:
                self._endpoint_updater.enable(request.name)
            case AdminPath.DRAIN:
                self._has_inherited_drain = False
                self._drain.begin_drain()
            case AdminPath.UNDRAIN:
                self._has_inherited_drain = False
                self._drain.end_drain()

    def apply_forwarded_override(self, path: str, name: str) -> None:
        """Apply an override that the node's other process has forwarded; an unknown path changes nothing."""
        try:
            known_path = AdminPath(path)
        except ValueError:
            return
        self.apply_override(AdminRequest(known_path, name))

    def load_overrides(self) -> None:
        """Replace all overrides with those stored in the file, if they are valid."""
        overrides = self._file.load()
        if overrides is not None:
            self.replace_overrides(overrides)

    def replace_overrides(self, overrides: Overrides) -> None:
        """Replace all overrides; a drain among them counts as inherited."""
        self._endpoint_updater.set_overrides(overrides.endpoints)
        self._has_inherited_drain = overrides.is_drain_requested
        if overrides.is_drain_requested:
            self._drain.begin_drain()
        else:
            self._drain.end_drain()

    @property
    def overrides(self) -> Overrides:
        """All overrides in force."""
        return Overrides(self._directory.overrides, self._drain.is_drain_requested)
