"""The order of the turns for excess input, and waits for a turn that are cancelled."""

from __future__ import annotations

import trio
import trio.testing

from burlmoor.downstream.turn_queue import TurnQueue


class Turns:
    """Tasks that take a turn each, and the order in which they had it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.queue = TurnQueue()
        self.taken: list[str] = []
        self._nursery = nursery

    async def wait(self, name: str, level: int) -> trio.CancelScope:
        """Start a task that waits for a turn; return the scope that cancels its wait."""
        scope = trio.CancelScope()

        async def take_turn() -> None:
            with scope:
                await self.queue.acquire(level)
                self.taken.append(name)
                await trio.lowlevel.checkpoint()
                self.queue.release()

        self._nursery.start_soon(take_turn)
        await trio.testing.wait_all_tasks_blocked()
        return scope


async def test_connections_that_have_sent_least_have_their_turns_first() -> None:
    # Guards against making a client that writes in pieces wait for all that send thousands of lines.
    async with trio.open_nursery() as nursery:
        turns = Turns(nursery)
        await turns.queue.acquire(0)
        for name, level in (("much", 40), ("little", 5), ("more", 41), ("little, later", 5)):
            await turns.wait(name, level)
        turns.queue.release()
    assert turns.taken == ["little", "little, later", "much", "more"]


async def test_a_cancelled_wait_neither_takes_nor_loses_a_turn() -> None:
    # Guards against a queue in which nobody gets a turn any more.
    async with trio.open_nursery() as nursery:
        turns = Turns(nursery)
        await turns.queue.acquire(0)
        waiting = await turns.wait("cancelled", 1)
        granted = await turns.wait("granted after its cancellation", 2)
        await turns.wait("last", 3)
        waiting.cancel()
        await trio.testing.wait_all_tasks_blocked()
        granted.cancel()
        turns.queue.release()
    assert turns.taken == ["last"]
