"""The configuration files of a run's nodes, and the endpoint lists that discovery gives to them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from msgspec import UNSET

from burlmoor.testbed.fleet.addresses import Ports, link_address, node_address
from burlmoor.testbed.job_classes import JOB_CLASSES, add_repeat_window, platform_settings

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path

    from burlmoor.testbed.discovery import DiscoveryService
    from burlmoor.testbed.fleet.record import RunRecord


class NodeConfigurations:
    """Writes the nodes' configuration files.

    `discovery_addresses` and `initial_lists` are indexed by the number of the node: the address at which the
    node reaches discovery, and its endpoint list at the start of the run, which it also gets on a restart.
    """

    def __init__(
        self,
        record: RunRecord,
        ports: Ports,
        discovery_addresses: Sequence[str],
        initial_lists: Sequence[Mapping[str, object]],
    ) -> None:
        self._record = record
        self._ports = ports
        self._discovery_addresses = discovery_addresses
        self._initial_lists = initial_lists

    def write(self, number: int, path: Path) -> None:
        """Write the configuration file of a node."""
        path.write_text(json.dumps(self._build(number)))

    def _build(self, number: int) -> dict[str, object]:
        plan = self._record.plan
        settings = platform_settings(JOB_CLASSES, plan.nodes, self._record.node_zones[number])
        settings["Limits"]["SecondCopies"] = plan.may_hedge
        if plan.repeat_window_ms is not UNSET:
            add_repeat_window(settings, plan.repeat_window_ms)
        return {
            "name": self._record.node_names()[number],
            "listen": f"{node_address(number)}:{self._ports.node_http}",
            "control": f"{node_address(number)}:{self._ports.node_admin}",
            "discovery": self._discovery_addresses[number],
            "seed": f"{plan.seed:04x}{number:04x}",
            "settings": {**settings, "Me": number},
            "known": self._initial_lists[number],
            "limits": {"sockets": plan.descriptor_limit},
        }


async def set_up_discovery(
    record: RunRecord, ports: Ports, discovery: DiscoveryService
) -> NodeConfigurations:
    """Start a discovery address for each node and list all executors on it; return the configurations."""
    node_names = record.node_names()
    discovery_addresses = []
    for number, name in enumerate(node_names):
        addresses = {
            executor: f"{link_address(number, executor_number)}:{ports.relay_to_executors}"
            for executor_number, executor in enumerate(record.executor_names())
        }
        discovery_addresses.append(await discovery.listen_for_node(name, addresses))
    for executor, zone in zip(record.executor_names(), record.executor_zones, strict=True):
        # The weight is the executor's capacity, which the baselines know as well.
        discovery.set_entry(executor, zone=zone, weight=record.specs[executor].capacity)
    initial_lists = [discovery.full_list(name) for name in node_names]
    return NodeConfigurations(record, ports, discovery_addresses, initial_lists)
