"""Keyed jobs of executors that crash are sent again; a third of the connections come up late.

The node decides on each repeat within the window, and writes it once its connection is up.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from check import REPEAT_WINDOW_MS, find_violations
from standins_2.case import Case, run_case
from standins_2.client import Client
from standins_2.discovery import Discovery
from standins_2.executor import Executor, ExecutorSpec
from standins_2.late_proxy import LateProxy
from standins_2.settings import job_class, small_deployment

EXECUTOR_COUNT = 6
CRASHED_COUNT = 2
LATE_COUNT = 2  # a third
JOB_COUNT = 18
WORK_MS = 1200.0
TIMEOUT_MS = 8000
CONNECT_TIMEOUT_MS = 1500.0  # a connection may take as long as the pages say that it may come up late
LATE_AFTER_SECONDS, CRASH_AFTER_SECONDS, ACCEPT_AGAIN_AFTER_SECONDS = 0.9, 1.0, 1.7
SPEC = ExecutorSpec(cores=6.0, slots=6, closes_connections=True)


async def play(case: Case) -> None:
    """Send the jobs, let two executors crash, and wait for the answers."""
    node = case.add_node("n1")
    discovery = Discovery(case.record)
    executors = [Executor(f"s-{number}", SPEC, case.record) for number in range(EXECUTOR_COUNT)]
    proxies: list[LateProxy] = []
    for executor in executors:
        executor.start()
        await executor.listen_for(node.name, node.address)
        proxies.append(LateProxy(executor.dial[node.name]))
        proxies[-1].start()
        discovery.add_entry(executor.name, {node.name: proxies[-1].address})
    keyed = job_class("booking", "by_key", 10000.0, RepeatWindow=REPEAT_WINDOW_MS)
    settings = small_deployment(
        keyed, nodes=2, index=0, registry_mode="push", limits={"ConnectTimeout": CONNECT_TIMEOUT_MS}
    )
    await node.start(settings, await discovery.listen_for(node.name), discovery.whole_list(node.name))
    client = Client(node.address, case.record)
    async with asyncio.TaskGroup() as group:
        for number in range(JOB_COUNT):
            group.create_task(client.send_job("booking", WORK_MS, TIMEOUT_MS, key=f"key-{number}"))
        await asyncio.sleep(LATE_AFTER_SECONDS)
        if case.has_trouble:
            case.record.add(
                "connections come up late", executors=[each.name for each in executors[-LATE_COUNT:]]
            )
            for proxy in proxies[-LATE_COUNT:]:
                proxy.become_late()
        await asyncio.sleep(CRASH_AFTER_SECONDS - LATE_AFTER_SECONDS)
        for executor, proxy in zip(executors[:CRASHED_COUNT], proxies, strict=False):
            proxy.close()
            executor.crash()
        await asyncio.sleep(ACCEPT_AGAIN_AFTER_SECONDS - CRASH_AFTER_SECONDS)
        for proxy in proxies[-LATE_COUNT:]:
            proxy.accept_again()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, find_violations)
