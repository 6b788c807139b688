"""The watch on discovery: makes the calls that `watching` says are due, and hands what comes to the list."""

from __future__ import annotations

import trio

from burlmoor.discovery.schedule import CallResult, DiscoveryCall, WatchSchedule
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.log import EventLogger
from burlmoor.upstream.http import BrokenResponseError
from burlmoor.upstream.pool import ConnectionPool

_PATH = b"/registry/instances"


class DiscoveryClient:
    """Owns the calls to discovery: one at a time, the next at once after each answer."""

    def __init__(
        self,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        address: str,
        schedule: WatchSchedule,
        log: EventLogger,
    ) -> None:
        self._directory, self._pool, self._address, self._schedule, self._log = (
            directory,
            pool,
            address,
            schedule,
            log,
        )
        self._turn = trio.CancelScope()
        self._stale = False  # whether it has been said that the list may be older than the rule allows
        self.first_response = trio.Event()  # set once discovery has answered for the first time

    def set_address(self, dial: str) -> None:
        """Discovery is at another address from now on: ask there at once, whatever was under way."""
        if dial == self._address:
            return
        self._pool.close_idle_to(self._address)
        self._address = dial
        self._schedule.on_address_changed(trio.current_time())
        self._turn.cancel()

    def watch(self) -> None:
        """The watch runs from the start and never ends, so the module's wish is met already."""

    def fetch(self) -> None:
        """Ask for the whole list with the next call."""
        self._schedule.request_full_list()

    async def run(self) -> None:
        """Watch until cancelled."""
        self._schedule.on_start(trio.current_time(), self._directory.version is not None)
        while True:
            with trio.CancelScope() as self._turn:  # ended early where discovery moves
                await trio.sleep_until(self._schedule.next_call().at)
                await self._make(self._schedule.next_call())

    async def _make(self, call: DiscoveryCall) -> None:
        """One call and what becomes of it. Whatever goes wrong, the node goes on with the list it has."""
        life, failures, age = self._schedule, self._schedule.failures, self._schedule.age(trio.current_time())
        life.on_call_started(trio.current_time())
        error, end = "", CallResult.ANSWERED
        try:
            with trio.fail_after(call.timeout_seconds):
                body = await self._ask(call)
            self._directory.apply_response(body)
        except trio.TooSlowError:
            end = CallResult.SILENT
        except ValueError as fault:
            error, end = str(fault), CallResult.UNREADABLE
        except Exception as fault:
            error, end = repr(fault), CallResult.FAILED
        now = trio.current_time()
        life.on_call_ended(end, now)
        if end is CallResult.ANSWERED:
            if failures:
                self._log(
                    "discovery-recovered",
                    failures=failures,
                    version=self._directory.version,
                    age=round(age, 2),
                )
            self._stale = False
            self.first_response.set()
        elif end is CallResult.SILENT:
            self._log("watch-timed-out", failures=life.failures, age=round(life.age(now), 2))
        else:
            self._log("discovery-failed", error=error, failures=life.failures)
        if now >= life.notification_deadline() and not self._stale:
            self._stale = True
            self._log("endpoint-list-stale", age=round(life.age(now), 2))

    async def _ask(self, call: DiscoveryCall) -> bytes:
        version = self._directory.version
        path = _PATH
        if not call.is_full_list and version is not None:
            path = b"%s?after=%d&wait_ms=%d" % (_PATH, version, round(call.wait_seconds * 1000.0))
        reply = await self._pool.call(self._address, b"GET", path)
        if reply.status != 200:
            raise BrokenResponseError(f"status {reply.status}")
        return reply.body
