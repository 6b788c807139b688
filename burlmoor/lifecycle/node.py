"""One running node: starts its tasks in a nursery, handles signals and shuts it down."""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

import trio

from burlmoor.discovery.list_lease import FIRST_CONTACT_SECONDS
from burlmoor.lifecycle.graceful_shutdown import GracefulShutdown
from burlmoor.lifecycle.handover import Handover
from burlmoor.lifecycle.node_builder import build_components, state_files
from burlmoor.lifecycle.peak_memory import peak_memory_mb
from burlmoor.lifecycle.reload import ConfigReloader
from burlmoor.lifecycle.stall_monitor import StallMonitor
from burlmoor.log_events import Counts, EndpointConnections, ProcessUsage
from burlmoor.transport.sockets import start_listening

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from burlmoor.config.node_config import NodeConfig
    from burlmoor.config.options import Options
    from burlmoor.deferred import DeferredService
    from burlmoor.log import EventLogger

# How long a process waits for its first endpoint list before it accepts clients without one, if clients may
# already be connecting to a listener that was passed to it and no predecessor serves them. In all other cases
# the limit is `FIRST_CONTACT_SECONDS`.
_UNSERVED_CLIENTS_TIMEOUT_SECONDS = 0.5
_IDLE_SWEEP_INTERVAL_SECONDS = 1.0
_COUNTS_INTERVAL_SECONDS = 10.0  # between `counts` log events
_DEFERRED_SEED_OFFSET = 2  # added to the node's seed; the engine and discovery use other offsets


class Node:
    """Builds the components of one node, and starts and stops the tasks that run them."""

    def __init__(self, config: NodeConfig, nursery: trio.Nursery, log: EventLogger) -> None:
        self._config = config
        self._nursery = nursery
        self._log = log
        self.components = components = build_components(config, nursery, log)
        # Two processes can share the listening socket only if the platform creates it and passes it to both.
        is_listener_shared = config.listener_fd is not None
        self.handover = Handover(
            components,
            state_files(config).handover_socket if is_listener_shared else None,
            nursery,
            log,
            is_listener_shared=is_listener_shared,
        )
        self._stall_monitor = StallMonitor(log)
        self._shutdown = GracefulShutdown(components, self.handover, self._stall_monitor, log)
        self._reloader = ConfigReloader(
            config, components.directory, components.endpoint_updater, components.discovery, log
        )
        self._deferred: DeferredService | None = None

    def start(self) -> None:
        """Load the state files of the previous process, and start all tasks of the node."""
        components = self.components
        components.endpoint_updater.load_cached(self._config.cached_endpoints)
        components.admin.load_overrides()
        self._apply_options(self._config.options)
        self._nursery.start_soon(components.engine_loop.run, components.engine)
        tasks = (
            components.server.sweep,
            components.server.watch_waiting_connections,
            self._close_idle_connections,
            self._log_counts,
            self._stall_monitor.run,
            self._begin_service,
        )
        for task in tasks:
            self._nursery.start_soon(task)
        if components.admin_server is not None:
            self._nursery.start_soon(components.admin_server.run)

    async def _begin_service(self) -> None:
        # This process counts as notified of every change in the predecessor's list, so it takes over that
        # list before it watches, and the watch continues from it.
        await self.handover.contact_predecessor()
        discovery = self.components.discovery
        self._nursery.start_soon(discovery.run)
        # The cached list may be of any age, so this process sends no job before discovery has answered.
        # Until then new connections are refused, and clients connect to other nodes or to the predecessor.
        with trio.move_on_after(self._first_contact_timeout()):
            await discovery.first_contact.wait()
        if self.components.drain.is_shutting_down:
            return
        if self._config.listener_fd is None:
            start_listening(self.components.listener)
        await self.handover.run()

    def _first_contact_timeout(self) -> float:
        """Return the seconds to wait for discovery before accepting clients."""
        is_listening = self._config.listener_fd is not None
        if is_listening and not self.handover.has_predecessor:
            return _UNSERVED_CLIENTS_TIMEOUT_SECONDS
        return FIRST_CONTACT_SECONDS

    async def _close_idle_connections(self) -> None:
        """Close idle connections to executors and discovery at intervals, until cancelled."""
        while True:
            await trio.sleep(_IDLE_SWEEP_INTERVAL_SECONDS)
            self.components.pool.close_expired()
            self.components.discovery_pool.close_expired()

    async def _log_counts(self) -> None:
        """Log counts of the events of jobs, attempts and connections at intervals, until cancelled."""
        while True:
            await trio.sleep(_COUNTS_INTERVAL_SECONDS)
            if counts := self.components.core.counters.take_increments():
                pool = self.components.pool
                connections = EndpointConnections(
                    open=pool.open_count, idle=pool.idle_count, limit=pool.max_connections
                )
                process = ProcessUsage(
                    peak_memory_mb=peak_memory_mb(),
                    clients=len(self.components.server.connections),
                    jobs=len(self.components.core.jobs.ids()),
                )
                self._log(Counts.from_groups(counts, connections, process))

    async def handle_signals(self, signals: AsyncIterator[int]) -> None:
        """Reload the configuration on SIGHUP; shut down gracefully on SIGTERM and SIGINT."""
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                self.reload(os.environ)
            else:
                self._nursery.start_soon(self.shut_down)

    def reload(self, environment: Mapping[str, str]) -> None:
        """Apply the changed configuration without a restart; jobs and statistics are retained."""
        new_config = self._reloader.reload(environment)
        if new_config is not None:
            self._apply_options(new_config.options)

    def _apply_options(self, options: Options | None) -> None:
        """Enable or disable optional subsystems as the operators' options say."""
        deferred_options = options.waiting if options is not None else None
        if deferred_options is not None and self._deferred is None:
            # Imported lazily, so that nodes without deferred jobs do not load it.
            from burlmoor.deferred import DeferredService  # noqa: PLC0415

            components = self.components
            seed = self._config.seed + _DEFERRED_SEED_OFFSET
            self._deferred = DeferredService(
                components.core, components.server, components.admin, seed, self._log
            )
        if self._deferred is not None:
            self._deferred.apply_options(deferred_options)

    async def shut_down(self) -> None:
        """Finish the admitted jobs, then end the node; does nothing if a shutdown is already running."""
        if self.components.drain.is_shutting_down:
            return
        await self._shutdown.run()
        self._nursery.cancel_scope.cancel()
