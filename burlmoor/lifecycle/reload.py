"""Reads the configuration again while the node runs (SIGHUP)."""

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

# Fields of the configuration that take effect at a start only, by the names that the log gives them.
_RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "control": "admin",
    "seed": "seed",
    "sockets": "max_sockets",
    "settings": "settings",
}


class ConfigReloader:
    """Applies what a new configuration changes for discovery, and logs what needs a restart."""

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
        """Return the new configuration; None where it is invalid: then the old one stays in force."""
        try:
            new = node_config.reload_config(environment)
        except Exception as error:  # noqa: BLE001
            # Without this, an invalid configuration would end the node.
            self._log(ReloadFailed(error=str(error)))
            return None
        # The cached list is older than what discovery has sent since.
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
