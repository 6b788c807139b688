"""The watch on discovery: makes the calls that `watching` says are due, and hands what comes to the list."""

from __future__ import annotations

import trio

from burlmoor.core import Say
from burlmoor.net.pool import Pool
from burlmoor.net.target import BrokenReply
from burlmoor.net.target_group import TargetGroup
from burlmoor.net.watching import Call, End, Watching

_PATH = b"/registry/instances"


class Watch:
    """Owns the calls to discovery: one at a time, the next at once after each answer."""

    def __init__(self, group: TargetGroup, pool: Pool, dial: str, life: Watching, say: Say) -> None:
        self._group, self._pool, self._dial, self._life, self._say = group, pool, dial, life, say
        self._turn = trio.CancelScope()
        self._stale = False  # whether it has been said that the list may be older than the rule allows
        self.answered = trio.Event()  # set once discovery has answered for the first time

    def move(self, dial: str) -> None:
        """Discovery is at another address from now on: ask there at once, whatever was under way."""
        if dial == self._dial:
            return
        self._pool.drop(self._dial)
        self._dial = dial
        self._life.moved(trio.current_time())
        self._turn.cancel()

    def subscribe(self) -> None:
        """The watch runs from the start and never ends, so the module's wish is met already."""

    def fetch(self) -> None:
        """Ask for the whole list with the next call."""
        self._life.fetch()

    async def run(self) -> None:
        """Watch until cancelled."""
        self._life.begin(trio.current_time(), self._group.version is not None)
        while True:
            with trio.CancelScope() as self._turn:  # ended early where discovery moves
                await trio.sleep_until(self._life.next().at)
                await self._make(self._life.next())

    async def _make(self, call: Call) -> None:
        """One call and what becomes of it. Whatever goes wrong, the node goes on with the list it has."""
        life, failures, age = self._life, self._life.failures, self._life.age(trio.current_time())
        life.made(trio.current_time())
        error, end = "", End.ANSWERED
        try:
            with trio.fail_after(call.within):
                body = await self._ask(call)
            self._group.apply(body)
        except trio.TooSlowError:
            end = End.SILENT
        except ValueError as fault:
            error, end = str(fault), End.UNREADABLE
        except Exception as fault:
            error, end = repr(fault), End.FAILED
        now = trio.current_time()
        life.ended(end, now)
        if end is End.ANSWERED:
            if failures:
                self._say("discovery-back", failures=failures, version=self._group.version, age=round(age, 2))
            self._stale = False
            self.answered.set()
        elif end is End.SILENT:
            self._say("watch-silent", failures=life.failures, age=round(life.age(now), 2))
        else:
            self._say("discovery-failed", error=error, failures=life.failures)
        if now >= life.told_at() and not self._stale:
            self._stale = True
            self._say("list-stale", age=round(life.age(now), 2))

    async def _ask(self, call: Call) -> bytes:
        version = self._group.version
        path = _PATH
        if not call.whole and version is not None:
            path = b"%s?after=%d&wait_ms=%d" % (_PATH, version, round(call.wait * 1000.0))
        reply = await self._pool.call(self._dial, b"GET", path)
        if reply.status != 200:
            raise BrokenReply(f"status {reply.status}")
        return reply.body
