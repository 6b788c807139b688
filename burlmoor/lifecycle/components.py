"""The components of one running node, as `node_builder` builds them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

    from burlmoor.admin.server import AdminServer
    from burlmoor.admin.service import AdminService
    from burlmoor.clock import Clock
    from burlmoor.discovery.client import DiscoveryClient
    from burlmoor.downstream.drain import DrainController
    from burlmoor.downstream.server import DownstreamServer
    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.list_updater import EndpointListUpdater
    from burlmoor.engine.core import EngineCore
    from burlmoor.engine.engine import Engine
    from burlmoor.lifecycle.engine_loop import EngineLoop
    from burlmoor.upstream.attempts import AttemptRunner
    from burlmoor.upstream.pool import ConnectionPool


@dataclass(frozen=True, slots=True)
class NodeComponents:
    """The components that `Node` runs, and that a handover and a graceful shutdown act on."""

    clock: Clock
    core: EngineCore
    engine: Engine
    engine_loop: EngineLoop
    attempts: AttemptRunner
    pool: ConnectionPool  # connections to endpoints
    directory: EndpointDirectory
    endpoint_updater: EndpointListUpdater
    discovery: DiscoveryClient
    discovery_pool: ConnectionPool
    drain: DrainController
    listener: socket.socket  # bound; the node or the platform calls `listen`
    server: DownstreamServer
    admin: AdminService
    admin_server: AdminServer | None  # None if the configuration has no admin address
