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

# The attributes of `NodeConfig` whose changes need a restart, by their names in the log.
_RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "control": "admin",
    "seed": "seed",
    "sockets": "max_sockets",
    "settings": "settings",
}


class ConfigReloader:
    """Applies a changed discovery address or cached list, and logs which changes need a restart."""

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
            new_config = node_config.reload_config(environment)
        except Exception as error:  # noqa: BLE001
            # An invalid configuration must not end a running node.
            self._log(ReloadFailed(error=str(error)))
            return None
        # A list received from discovery is newer than the cached one.
        if self._directory.version is None and new_config.cached_endpoints is not None:
            self._endpoint_updater.load_cached(new_config.cached_endpoints)
        self._discovery.set_address(new_config.discovery)
        self._log(
            Reloaded(discovery=new_config.discovery, needs_restart=self._fields_that_need_restart(new_config))
        )
        return new_config

    def _fields_that_need_restart(self, new_config: node_config.NodeConfig) -> list[str]:
        return [
            logged_name
            for logged_name, attribute in _RESTART_FIELDS.items()
            if getattr(new_config, attribute) != getattr(self._config, attribute)
        ]
