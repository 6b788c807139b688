"""Passes state to a successor: overrides, endpoint list, statistics and the ids of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.lifecycle.handover_messages import Snapshot

if TYPE_CHECKING:
    from burlmoor.lifecycle.components import NodeComponents


class StateTransfer:
    """Takes a snapshot of this process's state, and restores the predecessor's snapshot."""

    def __init__(self, components: NodeComponents) -> None:
        self._admin = components.admin
        self._core = components.core
        self._directory = components.directory
        self._endpoint_updater = components.endpoint_updater
        self._engine = components.engine
        self._pool = components.pool
        self._server = components.server

    def take_snapshot(self) -> Snapshot:
        """Return the state that a successor continues from."""
        return Snapshot(
            overrides=self._admin.overrides,
            endpoints=self._directory.snapshot(),
            statistics=self._core.dispatcher.take_statistics_snapshot(self._core.clock()),
            job_ids=self._core.jobs.ids_in_use(),
            downstream_connections=len(self._server.connections),
            upstream_connections=self._pool.open_count,
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Continue from the predecessor's state."""
        self._admin.replace_overrides(snapshot.overrides)
        self._endpoint_updater.restore(snapshot.endpoints)
        self._engine.step()  # passes the list to the policy: statistics are restored for its endpoints only
        self._core.dispatcher.restore_statistics_snapshot(snapshot.statistics, self._core.clock())
        self._core.jobs.add_ids_in_other_process(snapshot.job_ids)
