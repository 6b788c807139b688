"""The client of the discovery service: makes the scheduled calls, one at a time."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import trio

from burlmoor.discovery.schedule import CallResult, DiscoveryCall, WatchSchedule
from burlmoor.endpoints.list_validation import InvalidEndpointListError
from burlmoor.errors import BurlmoorError
from burlmoor.log_events import DiscoveryFailed, DiscoveryRecovered, EndpointListStale, WatchTimedOut
from burlmoor.upstream.errors import ResponseTooLongError, shows_peer_reachable

if TYPE_CHECKING:
    from burlmoor.discovery.list_lease import ListLease
    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.list_updater import EndpointListUpdater
    from burlmoor.log import EventLogger
    from burlmoor.upstream.pool import ConnectionPool

_PATH = b"/registry/instances"


class UnexpectedStatusError(BurlmoorError):
    """Discovery responded with a status other than 200 OK."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}, expected 200")
        self.status = status


class _CallOutcome(NamedTuple):
    """How a call ended; `error` is the text for the log, empty if there is none."""

    result: CallResult
    error: str = ""


class DiscoveryClient:
    """Makes the calls to discovery, and passes each response to the updater of the endpoint list.

    If a call fails, the node continues to use its present list for as long as the lease on it is valid.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        endpoint_updater: EndpointListUpdater,
        pool: ConnectionPool,
        address: str,
        schedule: WatchSchedule,
        lease: ListLease,
        log: EventLogger,
    ) -> None:
        self._directory = directory
        self._endpoint_updater = endpoint_updater
        self._pool = pool
        self._address = address
        self._schedule = schedule
        self._lease = lease
        self._lease_changed = trio.Event()
        self._log = log
        self._call_scope = trio.CancelScope()  # covers the wait for the next call and the call itself
        self._is_stale_logged = False  # since the last answer: whether the list was logged as stale
        self.first_contact = trio.Event()  # set once discovery has answered with a list

    def set_address(self, address: str) -> None:
        """Call discovery at another address immediately; a call to the old address is cancelled."""
        if address == self._address:
            return
        self._pool.close_idle_to(self._address)
        self._address = address
        self._schedule.on_address_changed(trio.current_time())
        self._lease.on_address_changed(trio.current_time())
        self._lease_changed.set()
        self._call_scope.cancel()

    def watch(self) -> None:
        """Do nothing: `run` watches for as long as the node runs, whether the policy requests it or not."""

    def fetch(self) -> None:
        """Request the full list with the next call."""
        self._schedule.request_full_list()

    async def run(self) -> None:
        """Watch until cancelled."""
        now = trio.current_time()
        self._schedule.on_start(now, has_list=self._directory.version is not None)
        self._lease.on_start(now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._suspend_expired_list)
            await self._call_forever()

    async def _suspend_expired_list(self) -> None:
        """Suspend the list whenever its lease expires, so that the policy selects no unusable endpoint."""
        while True:
            self._lease_changed = trio.Event()
            with trio.move_on_at(self._lease.expires_at()):
                await self._lease_changed.wait()
                continue
            now = trio.current_time()
            if not self._lease.is_valid(now):  # an answer may have renewed it since this task was woken
                self._endpoint_updater.suspend(round(self._schedule.age_seconds(now), 2))
            await self._lease_changed.wait()

    async def _call_forever(self) -> None:
        while True:
            with trio.CancelScope() as self._call_scope:  # cancelled when the address changes
                await trio.sleep_until(self._schedule.next_call().start_at)
                await self._make_call(self._schedule.next_call())

    async def _make_call(self, call: DiscoveryCall) -> None:
        """Make one call and handle its outcome."""
        started_at = trio.current_time()
        failures_before = self._schedule.failures
        age_before = self._schedule.age_seconds(started_at)
        self._schedule.on_call_started(started_at)
        self._lease.on_call_started(started_at, 0.0 if call.is_full_list else call.wait_seconds)
        outcome = await self._apply_response_to(call)
        # If the address changed while the response was read, it does not confirm the list of the new address.
        await trio.lowlevel.checkpoint_if_cancelled()
        now = trio.current_time()
        self._lease.on_call_ended(outcome.result, now)
        self._schedule.on_call_ended(outcome.result, now, must_retry_soon=self._lease.awaits_second_failure)
        self._lease_changed.set()
        if self._lease.is_valid(now):
            self._endpoint_updater.resume()
        if self._lease.is_confirmed:
            self.first_contact.set()
        if outcome.result is CallResult.ANSWERED:
            self._on_answer(failures_before, age_before)
        else:
            self._on_failure(outcome, now)

    async def _apply_response_to(self, call: DiscoveryCall) -> _CallOutcome:
        """Send one call and apply its response; return how it ended."""
        try:
            with trio.fail_after(call.timeout_seconds):
                body = await self._request(call)
            self._endpoint_updater.apply_response(body)
        except trio.TooSlowError:
            return _CallOutcome(CallResult.TIMED_OUT)
        except (InvalidEndpointListError, ResponseTooLongError) as error:
            return _CallOutcome(CallResult.INVALID, str(error))
        except UnexpectedStatusError as error:
            return _CallOutcome(CallResult.REJECTED, repr(error))
        except Exception as error:  # noqa: BLE001
            # Catch everything: an error that left the watch's task would end the node after one failed call.
            result = CallResult.REFUSED_OR_RESET if shows_peer_reachable(error) else CallResult.UNREACHABLE
            return _CallOutcome(result, repr(error))
        return _CallOutcome(CallResult.ANSWERED)

    async def _request(self, call: DiscoveryCall) -> bytes:
        """Send the request of a call, and return the body of the response.

        Raises:
            UnexpectedStatusError: the response's status is not 200 OK.
        """
        version = self._directory.version
        path = _PATH
        if not call.is_full_list and version is not None:
            path = b"%s?after=%d&wait_ms=%d" % (_PATH, version, round(call.wait_seconds * 1000.0))
        response = await self._pool.call(self._address, b"GET", path)
        if response.status != HTTPStatus.OK:
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

    def _on_failure(self, outcome: _CallOutcome, now: float) -> None:
        failures = self._schedule.failures
        age = round(self._schedule.age_seconds(now), 2)
        if outcome.result is CallResult.TIMED_OUT:
            self._log(WatchTimedOut(failures=failures, age_seconds=age))
        else:
            self._log(DiscoveryFailed(error=outcome.error, failures=failures))
        if now >= self._schedule.notification_deadline() and not self._is_stale_logged:
            self._is_stale_logged = True
            self._log(EndpointListStale(age_seconds=age))
