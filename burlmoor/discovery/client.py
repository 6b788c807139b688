"""The client of the discovery service: makes the calls that the schedule says are next, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.discovery.schedule import CallResult, DiscoveryCall, WatchSchedule
from burlmoor.endpoints.list_validation import InvalidEndpointListError
from burlmoor.errors import BurlmoorError
from burlmoor.log_events import DiscoveryFailed, DiscoveryRecovered, EndpointListStale, WatchTimedOut
from burlmoor.upstream.errors import ResponseTooLongError, is_sign_of_peer

if TYPE_CHECKING:
    from burlmoor.discovery.list_lease import ListLease
    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.log import EventLogger
    from burlmoor.upstream.pool import ConnectionPool

_PATH = b"/registry/instances"
_STATUS_OK = 200


class UnexpectedStatusError(BurlmoorError):
    """Discovery has answered with another status than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}, expected 200")
        self.status = status


class DiscoveryClient:
    """Owns the calls to discovery and hands each list to the directory.

    Whatever goes wrong with a call, the node continues with the list that it has while the lease on it lasts.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        address: str,
        schedule: WatchSchedule,
        lease: ListLease,
        log: EventLogger,
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._address = address
        self._schedule = schedule
        self._lease = lease
        self._lease_changed = trio.Event()
        self._log = log
        self._call_scope = trio.CancelScope()  # of the wait for the next call, and of the call
        self._is_stale_logged = False  # whether it has been logged that the list may be too old
        self.first_contact = trio.Event()  # set once the list may be used

    def set_address(self, address: str) -> None:
        """Call discovery at another address, at once; what is in flight at the old one is cancelled."""
        if address == self._address:
            return
        self._pool.close_idle_to(self._address)
        self._address = address
        self._schedule.on_address_changed(trio.current_time())
        self._lease.on_address_changed(trio.current_time())
        self._lease_changed.set()
        self._call_scope.cancel()

    def watch(self) -> None:
        """Do nothing: the watch runs from the start and never ends, as the policy requests."""

    def fetch(self) -> None:
        """Ask for the full list with the next call."""
        self._schedule.request_full_list()

    async def run(self) -> None:
        """Watch until cancelled."""
        now = trio.current_time()
        self._schedule.on_start(now, self._directory.version is not None)
        self._lease.on_start(now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._suspend_expired_list)
            await self._call_forever()

    async def _suspend_expired_list(self) -> None:
        """Suspend the list whenever its lease expires, so that the policy selects no endpoint for nothing."""
        while True:
            self._lease_changed = trio.Event()
            with trio.move_on_at(self._lease.expires_at()):
                await self._lease_changed.wait()
                continue
            self._directory.suspend(round(self._schedule.age_seconds(trio.current_time()), 2))
            await self._lease_changed.wait()

    async def _call_forever(self) -> None:
        while True:
            with trio.CancelScope() as self._call_scope:  # cancelled when the address changes
                await trio.sleep_until(self._schedule.next_call().start_at)
                await self._make_call(self._schedule.next_call())

    async def _make_call(self, call: DiscoveryCall) -> None:
        """Make one call and take in its outcome."""
        started_at = trio.current_time()
        failures_before = self._schedule.failures
        age_before = self._schedule.age_seconds(started_at)
        self._schedule.on_call_started(started_at)
        self._lease.on_call_started(started_at, 0.0 if call.is_full_list else call.wait_seconds)
        result, error = await self._apply_response_to(call)
        now = trio.current_time()
        self._lease.on_call_ended(result, now)
        # Whether it failed since a partition that held it back has healed, the next call has to show soon.
        is_retried_soon = self._lease.awaits_second_failure
        self._schedule.on_call_ended(CallResult.UNREACHABLE if is_retried_soon else result, now)
        self._lease_changed.set()
        if self._lease.is_valid(now):
            self._directory.resume()
        if self._lease.is_confirmed:
            self.first_contact.set()
        if result is CallResult.ANSWERED:
            self._on_answer(failures_before, age_before)
        else:
            self._on_failure(result, error, now)

    async def _apply_response_to(self, call: DiscoveryCall) -> tuple[CallResult, str]:
        """Make one call and apply its response; how it ended, and the error's text."""
        try:
            with trio.fail_after(call.timeout_seconds):
                body = await self._request(call)
            self._directory.apply_response(body)
        except trio.TooSlowError:
            return CallResult.TIMED_OUT, ""
        except (InvalidEndpointListError, ResponseTooLongError) as error:
            return CallResult.INVALID, str(error)
        except UnexpectedStatusError as error:
            return CallResult.REJECTED, repr(error)
        except Exception as error:  # noqa: BLE001
            # The boundary of the watch's task: without this, one failed call would end the node.
            is_alive = is_sign_of_peer(error)
            return (CallResult.FAILED if is_alive else CallResult.UNREACHABLE), repr(error)
        return CallResult.ANSWERED, ""

    async def _request(self, call: DiscoveryCall) -> bytes:
        """Send the request; the body of the response."""
        version = self._directory.version
        path = _PATH
        if not call.is_full_list and version is not None:
            path = b"%s?after=%d&wait_ms=%d" % (_PATH, version, round(call.wait_seconds * 1000.0))
        response = await self._pool.call(self._address, b"GET", path)
        if response.status != _STATUS_OK:
            raise UnexpectedStatusError(response.status)
        return response.body

    def _on_answer(self, failures_before: int, age_before: float) -> None:
        if failures_before:
            self._log(
                DiscoveryRecovered(
                    failures=failures_before,
                    version=self._directory.version,
                    age_seconds=round(age_before, 2),
                )
            )
        self._is_stale_logged = False

    def _on_failure(self, result: CallResult, error: str, now: float) -> None:
        failures = self._schedule.failures
        age = round(self._schedule.age_seconds(now), 2)
        if result is CallResult.TIMED_OUT:
            self._log(WatchTimedOut(failures=failures, age_seconds=age))
        else:
            self._log(DiscoveryFailed(error=error, failures=failures))
        if now >= self._schedule.notification_deadline() and not self._is_stale_logged:
            self._is_stale_logged = True
            self._log(EndpointListStale(age_seconds=age))
