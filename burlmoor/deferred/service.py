"""Connects the deferred-job queue to a running node: engine, downstream server and admin status."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burlmoor.admin.requests import AdminPath
from burlmoor.deferred.conditions import ConditionParser
from burlmoor.deferred.queue import DeferredJobQueue
from burlmoor.deferred.status import build_status

if TYPE_CHECKING:
    from burlmoor.admin.service import AdminService
    from burlmoor.config.options.sections import DeferredOptions
    from burlmoor.downstream.server import DownstreamServer
    from burlmoor.engine.core import EngineCore
    from burlmoor.log import EventLogger


class DeferredService:
    """Turns deferral on and off; when off, no new job is deferred, but already deferred jobs remain."""

    def __init__(
        self, core: EngineCore, server: DownstreamServer, admin: AdminService, seed: int, log: EventLogger
    ) -> None:
        self.queue: DeferredJobQueue | None = None
        self._is_on = False  # whether new jobs may be deferred
        self._core = core
        self._server = server
        self._admin = admin
        self._seed = seed
        self._log = log

    def apply_options(self, options: DeferredOptions | None) -> None:
        """Use these options from now on; None turns deferral off."""
        self._is_on = options is not None
        if options is None:
            self._server.parser.set_condition_parser(None)
            return
        if self.queue is None:
            self._enable(options)
        else:
            self.queue.apply_options(options, self._core.clock())
        self._server.parser.set_condition_parser(ConditionParser(options.max_dependencies).parse)

    def _enable(self, options: DeferredOptions) -> None:
        self.queue = DeferredJobQueue(
            options,
            self._server.connections.max_connections,
            self._core.settings.limits.max_retry_after_ms,
            self._seed,
            self._log,
            self._core.clock(),
        )
        self._core.deferral_notifier.enable(self.queue)
        self._server.attach_drain_observer(self._on_draining)
        self._admin.attach_status_provider(AdminPath.DEFERRED_JOBS, self._status)

    def _on_draining(self, *, is_closing_connections: bool) -> None:
        """Pass the drain state to the queue; detach the queue if deferral is off and it is empty."""
        if self.queue is None:
            return
        self.queue.set_draining(is_draining=is_closing_connections)
        if is_closing_connections:
            self._core.wake()
        if not self._is_on and not self.queue.job_count:
            self.queue = None
            self._core.deferral_notifier.disable()
            self._server.attach_drain_observer(None)
            self._admin.detach_status_provider(AdminPath.DEFERRED_JOBS)

    async def _status(self) -> dict[str, Any]:
        assert self.queue is not None
        return await build_status(self.queue, self._core.clock)
