"""Process that runs the clients of some of the nodes: `python -m burlmoor.testbed.fleet.clients`.

The load is open-loop: each job is sent at its scheduled time, whatever happens to other jobs, to the node
that was drawn for it. If that node accepts no connection, the job goes to another node, as a proxy in front
of the nodes would send it, a limited number of times; a job that a node may have received is never sent
again. The process ends when its input ends, or when all jobs are answered and its output is written.
"""

from __future__ import annotations

import random
import sys
from pathlib import Path

import msgspec
import trio

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import EventRecord, RequestRecord
from burlmoor.testbed.fleet.addresses import Ports, node_address
from burlmoor.testbed.fleet.line_protocol import read_lines, run_process, send_status_line
from burlmoor.testbed.fleet.load import Job, Load, draw_jobs

_MIN_SLEEP_MS = 0.5


class ClientsConfig(msgspec.Struct):
    """The load, and which of its jobs this process sends."""

    ports: Ports
    load: Load
    partition: int  # the process sends the jobs of nodes whose number modulo partition_count is this
    partition_count: int
    start_ms: float  # start of the load on the machine's clock
    output_path: str
    max_node_changes: int = 3


class ClientsOutput(msgspec.Struct):
    """What the process writes to its output file at the end."""

    requests: list[RequestRecord]
    max_send_delay_ms: float  # the longest delay of a job behind its scheduled time


class ClientGroup:
    """Sends the jobs of one process, and owns the connections to the nodes that they are sent to."""

    def __init__(self, config: ClientsConfig) -> None:
        self.event_record = EventRecord()
        self.max_send_delay_ms = 0.0
        self._config = config
        self._rng = random.Random(config.load.seed * 1000 + config.partition)
        self._client_pools: dict[int, ClientPool] = {}

    async def run(self) -> None:
        """Send every job that this process is to send, and wait for all answers."""
        config = self._config
        async with trio.open_nursery() as nursery:
            for job in draw_jobs(config.load):
                if job.node % config.partition_count != config.partition:
                    continue
                due_ms = config.start_ms + job.start_seconds * 1000.0
                if due_ms - now_ms() > _MIN_SLEEP_MS:
                    await trio.sleep(max(0.0, due_ms - now_ms()) / 1000.0)
                self.max_send_delay_ms = max(self.max_send_delay_ms, now_ms() - due_ms)
                nursery.start_soon(self._send, job, due_ms)

    async def _send(self, job: Job, due_ms: float) -> None:
        """Send a job to its node; as long as that accepts no connection, to another one at random."""
        request = RequestRecord(
            f"j{job.number}",
            job.job_class.name,
            due_ms,
            job.job_class.timeout_ms,
            job.work_ms,
            slots=job.slots,
        )
        request.node = job.node
        for node_changes in range(self._config.max_node_changes + 1):
            request.node_changes = node_changes
            await self._client_pool(request.node).send(request, slots=job.slots, key=job.key)
            if not request.is_unsent or now_ms() > due_ms + job.job_class.timeout_ms:
                return
            request.node = self._rng.randrange(self._config.load.nodes)
            request.is_unsent = False
        request.is_unsent = True

    def _client_pool(self, node: int) -> ClientPool:
        if node not in self._client_pools:
            address = (node_address(node), self._config.ports.node_http)
            self._client_pools[node] = ClientPool(address, self.event_record, may_resend=False)
        return self._client_pools[node]


async def serve(config: ClientsConfig) -> None:
    """Send all jobs and write the output, unless the input ends first."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_at_end_of_input, nursery.cancel_scope)
        clients = ClientGroup(config)
        await clients.run()
        _write_output(config, clients)
        send_status_line()
        nursery.cancel_scope.cancel()


async def _cancel_at_end_of_input(cancel_scope: trio.CancelScope) -> None:
    async for _ in read_lines():
        pass
    cancel_scope.cancel()


def _write_output(config: ClientsConfig, clients: ClientGroup) -> None:
    """Write the output. This blocks the event loop, but no other task is left that it could delay."""
    output = ClientsOutput(list(clients.event_record.requests.values()), clients.max_send_delay_ms)
    Path(config.output_path).write_bytes(msgspec.json.encode(output))


if __name__ == "__main__":
    sys.exit(run_process(serve, ClientsConfig))
