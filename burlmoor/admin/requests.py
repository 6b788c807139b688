"""The requests and responses of the admin server, shared by its HTTP codec, server and service."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec

if TYPE_CHECKING:
    from http import HTTPStatus


class AdminPath(StrEnum):
    """The operations of the admin server, by path."""

    READY = "/ready"
    DISABLE_EXECUTOR = "/executors/disable"
    ENABLE_EXECUTOR = "/executors/enable"
    DRAIN = "/drain"
    UNDRAIN = "/undrain"
    DEFERRED_JOBS = "/waiting"

    @property
    def is_query(self) -> bool:
        """Whether the operation only reads state; the others set an override."""
        return self in {AdminPath.READY, AdminPath.DEFERRED_JOBS}

    @property
    def method(self) -> bytes:
        """The only HTTP method that the path allows."""
        return b"GET" if self.is_query else b"POST"

    @property
    def names_executor(self) -> bool:
        """Whether the body must name an executor."""
        return self in {AdminPath.DISABLE_EXECUTOR, AdminPath.ENABLE_EXECUTOR}


class AdminRequest(NamedTuple):
    """A valid request; `name` is the executor's name, or empty if the operation takes none."""

    path: AdminPath
    name: str = ""


class NodeStatus(msgspec.Struct):
    """The body of a successful response to all operations but `DEFERRED_JOBS`."""

    is_ready: bool = msgspec.field(name="ready")
    state: str
    is_drain_requested: bool = msgspec.field(name="drained")
    disabled: list[str] = msgspec.field(name="out")


class AdminError(msgspec.Struct):
    """The body of the response to a rejected request, which has changed nothing."""

    error: str


class AdminResponse(NamedTuple):
    """The response to a request; the status of a subsystem is a plain JSON object."""

    status: HTTPStatus
    body: NodeStatus | AdminError | dict[str, Any]


def reject(status: HTTPStatus, error: str) -> AdminResponse:
    """Return the response to a rejected request."""
    return AdminResponse(status, AdminError(error))


class AdminHandler(Protocol):
    """Handles the requests that the admin server receives."""

    async def handle(self, request: AdminRequest) -> AdminResponse:
        """Handle a request; a rejected request changes nothing."""
