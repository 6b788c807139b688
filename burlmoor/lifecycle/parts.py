"""The parts of a node that a handover and a graceful shutdown act on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.admin.service import AdminService
    from burlmoor.downstream.server import DownstreamServer
    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.list_updater import EndpointListUpdater
    from burlmoor.engine.core import EngineCore
    from burlmoor.engine.engine import Engine
    from burlmoor.upstream.pool import ConnectionPool


@dataclass(frozen=True, slots=True)
class NodeParts:
    """The parts of one running node; `Node` builds and owns them."""

    core: EngineCore
    engine: Engine
    server: DownstreamServer
    pool: ConnectionPool
    directory: EndpointDirectory
    endpoint_updater: EndpointListUpdater
    admin: AdminService
