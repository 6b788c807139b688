"""Tests that fault injectors reject faults of other groups."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.fleet.addresses import find_free_ports
from burlmoor.testbed.fleet.discovery_faults import DiscoveryFaultInjector
from burlmoor.testbed.fleet.executor_faults import ExecutorFaultInjector
from burlmoor.testbed.fleet.fault_kinds import FaultKind, UnsupportedFaultError
from burlmoor.testbed.fleet.faults import Fault
from burlmoor.testbed.fleet.helper_processes import HelperProcesses
from burlmoor.testbed.fleet.node_configuration import NodeConfigurations
from burlmoor.testbed.fleet.node_faults import NodeFaultInjector
from burlmoor.testbed.fleet.node_processes import NodeProcesses
from tests.testbed.fleet.recorded_runs import make_record

if TYPE_CHECKING:
    from pathlib import Path

    import trio

LINK_DELAY = Fault(kind=FaultKind.LINK_DELAY, start=0.0, duration=0.0, nodes="*")


async def test_injectors_reject_faults_of_other_groups(tmp_path: Path, nursery: trio.Nursery) -> None:
    record = make_record()
    ports = find_free_ports()
    discovery = DiscoveryService(nursery)
    helpers = HelperProcesses(record, ports, tmp_path, frozenset())
    configurations = NodeConfigurations(record, ports, [], [])
    nodes = NodeProcesses(record, ports, tmp_path, frozenset(), discovery, configurations)
    for injector in (
        NodeFaultInjector(record, nodes, ports, tmp_path),
        ExecutorFaultInjector(record, helpers, discovery),
        DiscoveryFaultInjector(record, nodes.names, discovery),
    ):
        with pytest.raises(UnsupportedFaultError) as error:
            await injector.inject(LINK_DELAY, 0)
        assert error.value.kind is FaultKind.LINK_DELAY
