"""Joins the ward to a running node: the core asks it, the front reads its headers, operators are shown it."""

from __future__ import annotations

from typing import Any

from burlmoor.admin.service import AdminService
from burlmoor.config.options.sections import DeferredOptions
from burlmoor.deferred.conditions import ConditionParser
from burlmoor.deferred.queue import DeferredJobQueue
from burlmoor.deferred.status import show
from burlmoor.downstream.server import DownstreamServer
from burlmoor.engine.engine import Engine
from burlmoor.log import EventLogger

PATH = "/waiting"


class DeferredService:
    """Owns whether jobs may wait here; turned off, what waits goes on and nothing new comes to wait."""

    def __init__(
        self, engine: Engine, server: DownstreamServer, admin: AdminService, seed: int, log: EventLogger
    ) -> None:
        self._engine, self._server, self._admin, self._seed, self._log = engine, server, admin, seed, log
        self.queue: DeferredJobQueue | None = None

    def apply_options(self, given: DeferredOptions | None) -> None:
        """These options hold from now on; None: off."""
        if given is None:
            self._server.parse_conditions = None
            return
        now = self._engine.clock()
        if self.queue is None:
            advice = self._engine.settings.limits.max_retry_after_ms
            self.queue = DeferredJobQueue(
                given, self._server.max_connections, advice, self._seed, self._log, now
            )
            self._engine.enable_deferral(self.queue)
            self._server.on_draining = self._shut
            self._admin.status_providers[PATH] = self._show
        else:
            self.queue.take_up(given, now)
        self._server.parse_conditions = ConditionParser(given.max_dependencies)

    def _shut(self, shut: bool) -> None:
        ward = self.queue
        if ward is None:
            return
        ward.shut(shut)
        if shut:
            self._engine.wake()
        if self._server.parse_conditions is None and not ward.held:
            # Turned off, and the last that waited has gone.
            self._engine.disable_deferral()
            self.queue = self._server.on_draining = None
            self._admin.status_providers.pop(PATH, None)

    async def _show(self) -> dict[str, Any]:
        assert self.queue is not None
        return await show(self.queue, self._engine.clock)
