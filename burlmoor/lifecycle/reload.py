"""Reloads the configuration while the node runs (SIGHUP)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.config import node_config
from burlmoor.log_events import Reloaded, ReloadFailed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burlmoor.discovery.client import DiscoveryClient
    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.list_updater import EndpointListUpdater
    from burlmoor.log import EventLogger

# Fields of `NodeConfig` that only a restart applies, by their names in the log.
_RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "control": "admin",
    "seed": "seed",
    "sockets": "max_sockets",
    "settings": "settings",
}


class ConfigReloader:
    """Applies changes that concern discovery, and logs which other changes need a restart."""

    def __init__(
        self,
        config: node_config.NodeConfig,
        directory: EndpointDirectory,
        endpoint_updater: EndpointListUpdater,
        discovery: DiscoveryClient,
        log: EventLogger,
    ) -> None:
        self._config = config
        self._directory = directory
        self._endpoint_updater = endpoint_updater
        self._discovery = discovery
        self._log = log

    def reload(self, environment: Mapping[str, str]) -> node_config.NodeConfig | None:
        """Read, apply and return the new configuration; return None and keep the old one if it is invalid."""
        try:
            new = node_config.reload_config(environment)
        except Exception as error:  # noqa: BLE001
            # An invalid configuration must not end a running node.
            self._log(ReloadFailed(error=str(error)))
            return None
        # A list received from discovery is newer than the cached one.
        if self._directory.version is None and new.cached_endpoints is not None:
            self._endpoint_updater.load_cached(new.cached_endpoints)
        self._discovery.set_address(new.discovery)
        self._log(Reloaded(discovery=new.discovery, needs_restart=self._fields_that_need_restart(new)))
        return new

    def _fields_that_need_restart(self, new: node_config.NodeConfig) -> list[str]:
        return [
            field
            for field, attribute in _RESTART_FIELDS.items()
            if getattr(new, attribute) != getattr(self._config, attribute)
        ]
