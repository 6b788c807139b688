"""Persistent clients of one node: `python -m burlmoor.testbed.fleet.persistent_clients`.

Each client has one connection, which carries a job now and then. A process of its own observes the ends of
connections without the delays of the process that starts and stops the nodes.
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
from burlmoor.testbed.fleet.line_protocol import run_process, send_status_line
from burlmoor.testbed.job_classes import JOB_CLASSES

_MIN_PAUSE_SECONDS = 0.2  # between an answer and the client's next job
_MAX_PAUSE_SECONDS = 2.0
_WORK_MS = 5.0


class PersistentClientsConfig(msgspec.Struct):
    """The node, the number of its clients and how long they send jobs."""

    address: tuple[str, int]
    node: int
    clients: int
    seconds: float
    seed: int
    output_path: str


class PersistentClients:
    """Owns the clients, and records what they observe.

    A client sends its next job on its open connection, and opens a new one only if the node has closed it.
    """

    def __init__(self, config: PersistentClientsConfig) -> None:
        self._config = config
        self._rng = random.Random(config.seed)
        self._event_record = EventRecord()

    async def run(self) -> list[RequestRecord]:
        """Send jobs until the time is over, and return the completed records of all of them."""
        end_ms = now_ms() + self._config.seconds * 1000.0
        async with trio.open_nursery() as nursery:
            for client in range(self._config.clients):
                nursery.start_soon(self._run_client, client, end_ms)
        return list(self._event_record.requests.values())

    async def _run_client(self, client: int, end_ms: float) -> None:
        pool = ClientPool(self._config.address, self._event_record, may_resend=False)
        number = 0
        while now_ms() < end_ms:
            await trio.sleep(self._rng.uniform(_MIN_PAUSE_SECONDS, _MAX_PAUSE_SECONDS))
            await pool.send(self._make_request(client, number))
            number += 1
        pool.close()

    def _make_request(self, client: int, number: int) -> RequestRecord:
        job_class = JOB_CLASSES[0]
        request_id = f"client{self._config.node}-{client}-{number}"
        return RequestRecord(
            request_id, job_class.name, now_ms(), job_class.timeout_ms, _WORK_MS, node=self._config.node
        )


async def serve(config: PersistentClientsConfig) -> None:
    """Run the clients, write the records of its requests as JSON, and report that it has finished."""
    requests = await PersistentClients(config).run()
    Path(config.output_path).write_bytes(msgspec.json.encode(requests))  # noqa: ASYNC240 - no task is left
    send_status_line()


if __name__ == "__main__":
    sys.exit(run_process(serve, PersistentClientsConfig))
