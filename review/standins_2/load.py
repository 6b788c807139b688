"""A steady load: jobs of one class, sent to a node at random times."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standins_2.client import Client


@dataclass(frozen=True)
class Load:
    """What is sent, and how often; `seed` is that of the random times."""

    job_class: str
    work_ms: float
    timeout_ms: int
    jobs_per_second: float
    seed: int

    async def send(self, client: Client, stop: asyncio.Event) -> None:
        """Send jobs until `stop` is set, and wait for the last answers."""
        rng = random.Random(self.seed)
        async with asyncio.TaskGroup() as group:
            while not stop.is_set():
                await asyncio.sleep(rng.expovariate(self.jobs_per_second))
                group.create_task(client.send_job(self.job_class, self.work_ms, self.timeout_ms))
