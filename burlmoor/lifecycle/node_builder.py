"""The composition root: builds the components of a node from its configuration."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from burlmoor.admin.server import AdminServer
from burlmoor.admin.service import AdminService
from burlmoor.clock import Clock
from burlmoor.discovery.client import DiscoveryClient
from burlmoor.discovery.polled_list_lease import PolledListLease
from burlmoor.discovery.pushed_list_lease import PushedListLease
from burlmoor.discovery.schedule import WatchSchedule
from burlmoor.downstream.drain import DrainController, compute_grace_period_seconds
from burlmoor.downstream.server import build_downstream_server
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.list_updater import EndpointListUpdater
from burlmoor.engine.core import EngineCore
from burlmoor.engine.engine import Engine
from burlmoor.lifecycle.components import NodeComponents
from burlmoor.lifecycle.connection_limits import divide_descriptors
from burlmoor.lifecycle.engine_loop import EngineLoop
from burlmoor.lifecycle.state_files import StateFiles
from burlmoor.transport.sockets import adopt_listening_socket, bind_socket
from burlmoor.upstream.attempts import AttemptRunner
from burlmoor.upstream.cancellation import AttemptCanceller
from burlmoor.upstream.health_check import HealthChecker
from burlmoor.upstream.in_flight import InFlightAttempts
from burlmoor.upstream.pool import REUSE_DELAY_SECONDS, ConnectionPool
from burlmoor.upstream.request_sender import RequestSender
from burlmoor.upstream.withdrawal import AttemptWithdrawal

if TYPE_CHECKING:
    import socket

    from burlmoor.config.node_config import NodeConfig
    from burlmoor.log import EventLogger

_MAX_DISCOVERY_CONNECTIONS = 4
# Fits over 8,000 executors in indented JSON; memory is allocated on demand.
_MAX_ENDPOINT_LIST_BYTES = 4 << 20
_IDLE_LIMIT_FRACTION = 0.4  # of the time after which an executor's machine closes an idle connection
_DISCOVERY_SEED_OFFSET = 1  # added to the node's seed; the engine uses the seed itself


def build_components(config: NodeConfig, nursery: trio.Nursery, log: EventLogger) -> NodeComponents:
    """Build a node's components and bind the listening socket; no task is started.

    Raises:
        OSError: the node cannot bind its address.
    """
    policy_settings = config.settings.policy
    clock = Clock()
    engine_loop = EngineLoop(clock)
    core = EngineCore(policy_settings, config.seed, clock, log, engine_loop.wake)
    sockets = divide_descriptors(config.max_sockets)
    pool = _build_pool(config, core, sockets.upstream)
    lease = PolledListLease() if policy_settings.pulls_endpoint_list else PushedListLease()
    directory = EndpointDirectory(clock.from_unix, lambda: lease.is_valid(trio.current_time()))
    attempts = _build_attempt_runner(core, directory, pool, nursery)
    withdrawal = AttemptWithdrawal(attempts, directory, core.invariants, nursery, log)
    endpoint_updater = EndpointListUpdater(directory, core.policy, withdrawal, pool, log)
    discovery_pool = _build_discovery_pool(config, pool)
    schedule = _build_watch_schedule(config)
    discovery = DiscoveryClient(
        directory, endpoint_updater, discovery_pool, config.discovery, schedule, lease, log
    )
    engine = Engine(core, upstream=attempts, discovery=discovery)
    drain = _build_drain_controller(config)
    listener = _build_listener(config)
    server = build_downstream_server(core, engine, listener, sockets.downstream, drain, nursery, log)
    admin = AdminService(directory, endpoint_updater, drain, state_files(config).overrides, log)
    return NodeComponents(
        clock=clock,
        core=core,
        engine=engine,
        engine_loop=engine_loop,
        attempts=attempts,
        pool=pool,
        directory=directory,
        endpoint_updater=endpoint_updater,
        discovery=discovery,
        discovery_pool=discovery_pool,
        drain=drain,
        listener=listener,
        server=server,
        admin=admin,
        admin_server=AdminServer(admin, config.admin, nursery, log) if config.admin else None,
    )


def state_files(config: NodeConfig) -> StateFiles:
    """Return the paths of this node's state files."""
    return StateFiles(config.state_folder, config.name)


def _build_pool(config: NodeConfig, core: EngineCore, max_connections: int) -> ConnectionPool:
    settings = config.settings
    return ConnectionPool(
        settings.keepalive_ms / 1000.0 * _IDLE_LIMIT_FRACTION,
        settings.policy.limits.connect_timeout_ms / 1000.0,
        max_connections,
        reuse_delay_seconds=REUSE_DELAY_SECONDS,
        invariants=core.invariants,
        counters=core.counters,
    )


def _build_attempt_runner(
    core: EngineCore, directory: EndpointDirectory, pool: ConnectionPool, nursery: trio.Nursery
) -> AttemptRunner:
    may_cancel = core.settings.limits.may_cancel
    return AttemptRunner(
        lifecycle=core.lifecycle,
        in_flight=InFlightAttempts(),
        sender=RequestSender(directory, pool, core.invariants, core.clock),
        canceller=AttemptCanceller(core.lifecycle, pool, nursery, core.log, may_cancel=may_cancel),
        health_checker=HealthChecker(core.policy, directory, pool, core.clock, core.log),
        pool=pool,
        nursery=nursery,
        clock=core.clock,
        log=core.log,
    )


def _build_discovery_pool(config: NodeConfig, pool: ConnectionPool) -> ConnectionPool:
    # Separate from the pool of the attempts, so that hanging attempts cannot delay watch events.
    timeout_seconds = config.settings.policy.limits.connect_timeout_ms / 1000.0
    return ConnectionPool(
        pool.idle_limit_seconds,
        timeout_seconds,
        _MAX_DISCOVERY_CONNECTIONS,
        response_limit_bytes=_MAX_ENDPOINT_LIST_BYTES,
    )


def _build_watch_schedule(config: NodeConfig) -> WatchSchedule:
    policy_settings = config.settings.policy
    return WatchSchedule(
        policy_settings.node_count,
        policy_settings.rules.poll_interval_ms / 1000.0,
        random.Random(config.seed + _DISCOVERY_SEED_OFFSET),
        has_agent=not policy_settings.pulls_endpoint_list,
    )


def _build_drain_controller(config: NodeConfig) -> DrainController:
    deadlines_seconds = [job_class.deadline_ms / 1000.0 for job_class in config.settings.policy.classes]
    return DrainController(compute_grace_period_seconds(deadlines_seconds))


def _build_listener(config: NodeConfig) -> socket.socket:
    if config.listener_fd is None:
        return bind_socket(config.listen)
    return adopt_listening_socket(config.listener_fd)
