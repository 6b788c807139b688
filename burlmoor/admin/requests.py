"""What operators can ask of a node, and the responses, as types that codec, server and service share."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec

if TYPE_CHECKING:
    from http import HTTPStatus


class AdminPath(StrEnum):
    """The operations, each by the path under which operators call it."""

    READY = "/ready"
    DISABLE_EXECUTOR = "/executors/disable"
    ENABLE_EXECUTOR = "/executors/enable"
    DRAIN = "/drain"
    UNDRAIN = "/undrain"
    DEFERRED_JOBS = "/waiting"

    @property
    def is_query(self) -> bool:
        """Whether the operation only shows state; the others set an override."""
        return self in {AdminPath.READY, AdminPath.DEFERRED_JOBS}

    @property
    def method(self) -> bytes:
        """The one HTTP method that the path allows."""
        return b"GET" if self.is_query else b"POST"

    @property
    def names_executor(self) -> bool:
        """Whether the body has to name an executor."""
        return self in {AdminPath.DISABLE_EXECUTOR, AdminPath.ENABLE_EXECUTOR}


class AdminRequest(NamedTuple):
    """A valid call; `name` is the executor's, where the operation has one."""

    path: AdminPath
    name: str = ""


class NodeStatus(msgspec.Struct):
    """The body of a successful response to all operations but `DEFERRED_JOBS`."""

    is_ready: bool = msgspec.field(name="ready")
    state: str
    is_drained: bool = msgspec.field(name="drained")
    disabled: list[str] = msgspec.field(name="out")


class AdminError(msgspec.Struct):
    """The body of a response that rejects a call, which has changed nothing."""

    error: str


class AdminResponse(NamedTuple):
    """What an operator gets; a subsystem's own status is a plain JSON object."""

    status: HTTPStatus
    body: NodeStatus | AdminError | dict[str, Any]


def reject(status: HTTPStatus, error: str) -> AdminResponse:
    """Return the response to a call that is not carried out."""
    return AdminResponse(status, AdminError(error))


class AdminHandler(Protocol):
    """What carries out the operators' calls."""

    async def handle(self, request: AdminRequest) -> AdminResponse:
        """Carry out a call; one that is rejected has changed nothing."""
