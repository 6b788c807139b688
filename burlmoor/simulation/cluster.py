"""A cluster of nodes, executors, clients and a discovery service, on one event queue with a virtual clock.

Nodes run the `Engine` with its policy; executors use `testbed/executor_model.py`. Events that a real node
sees on its sockets are reported as values of `Outcome`. One seed determines all
random numbers: the same seed gives the same run. Times are ms. `records.py` defines the records of what
clients and executors observed, and `audit.py` checks them.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from burlmoor.simulation.discovery import SimulatedDiscovery
from burlmoor.simulation.event_queue import Action, EventQueue
from burlmoor.simulation.executors import SimulatedExecutors
from burlmoor.simulation.network import ResponseNetwork
from burlmoor.simulation.node import NodeRecorder, SimulatedNode
from burlmoor.simulation.records import AttemptRecord, ClientRecord, EndpointNotification
from burlmoor.types.endpoint_list import ListKind
from burlmoor.types.events import JobRequest

if TYPE_CHECKING:
    from burlmoor.simulation.cluster_spec import ClusterSpec

_START_MS = 1_000_000.0
_AFFINITY_KEY_COUNT = 20


class SimulatedCluster:
    """Owns the virtual clock, all simulated processes and the records."""

    def __init__(self, spec: ClusterSpec, seed: int) -> None:
        self.spec = spec
        self.client_records: dict[str, ClientRecord] = {}  # by request id
        self.attempt_records: list[AttemptRecord] = []
        self.notifications: list[EndpointNotification] = []
        self.internal_errors: list[str] = []  # log events that nodes must not write
        self.nodes: list[SimulatedNode | None] = [None] * spec.settings.node_count
        self._seed = seed
        self._rng = random.Random(seed)
        self._events = EventQueue(_START_MS)
        discovery = SimulatedDiscovery(spec.list_delay_ms, self._events, self._rng, self.nodes)
        network = ResponseNetwork(spec.network_delay_ms, self._events, self._rng, self.nodes)
        self.executors = SimulatedExecutors(
            spec, self._events, self._rng, discovery, network, self.client_records, self.attempt_records
        )
        for index in range(spec.settings.node_count):
            self._start_node(index, 0)

    @property
    def now(self) -> float:
        """The current virtual time."""
        return self._events.now

    def schedule(self, when: float, action: Action) -> None:
        """Schedule an action for a time, or for now if that time is past."""
        self._events.schedule(when, action)

    def run(self, until: float) -> None:
        """Run the simulation until a given time."""
        self._events.run(until)

    def submit_job(
        self, node_index: int, job_class: str, work_ms: float, tenant: str = "", hint_error: float = 1.0
    ) -> str | None:
        """Send a job from a client; its work hint is wrong by the factor `hint_error`.

        Returns the request id, or None if the node is down, so that the client cannot connect.
        """
        timeout_ms = next(each.deadline_ms for each in self.spec.settings.classes if each.name == job_class)
        node = self.nodes[node_index]
        if node is None:
            return None
        request_id = f"r{len(self.client_records)}"
        record = ClientRecord(request_id, job_class, tenant, self.now, timeout_ms, work_ms, node_index)
        self.client_records[request_id] = record
        key = f"k{self._rng.randrange(_AFFINITY_KEY_COUNT)}"
        work_hint_ms = work_ms * hint_error
        node.on_job(
            record, JobRequest(0, job_class, timeout_ms, work_hint_ms, tenant=tenant, affinity_key=key)
        )
        return request_id

    def disconnect_client(self, request_id: str) -> None:
        """Close a client's connection, if the client still waits for its answer."""
        record = self.client_records[request_id]
        node = self.nodes[record.node_index]
        if node is not None and request_id in node.jobs and not record.answers:
            record.disconnected_at = self.now
            node.on_client_disconnected(request_id)

    def push_endpoint_list(self) -> None:
        """Send every node the complete endpoint list at once."""
        for node in self.nodes:
            if node is not None:
                node.on_endpoint_list(ListKind.SNAPSHOT, self.executors.listed())

    def crash_node(self, index: int, restart_after_ms: float) -> None:
        """Crash a node's process; after `restart_after_ms`, a new one starts from the list as it is then."""
        node = self.nodes[index]
        if node is None:
            return
        node.is_alive = False
        self.nodes[index] = None
        for record in self.client_records.values():
            if record.node_index == index and not record.answers:
                record.has_node_crashed = True
        next_generation = node.generation + 1
        self.schedule(self.now + restart_after_ms, lambda: self._start_node(index, next_generation))

    def _start_node(self, index: int, generation: int) -> None:
        seed = hash((self._seed, index, generation)) & 0xFFFF
        recorder = NodeRecorder(self.attempt_records, self.notifications, self.internal_errors)
        node = SimulatedNode(
            index, generation, seed, self.spec, self._events, self.executors, self.client_records, recorder
        )
        node.start()
        self.nodes[index] = node
