"""Makes the health checks of endpoints that the policy requests."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from burlmoor.log_events import AttemptError
from burlmoor.types.outcome import Outcome
from burlmoor.upstream.errors import BrokenResponseError, ConnectError, RequestIncompleteError
from burlmoor.upstream.outcome import classify_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.engine.policy_driver import PolicyDriver
    from burlmoor.log import EventLogger
    from burlmoor.upstream.pool import ConnectionPool

_TIMEOUT_SECONDS = 0.5
_PATH = b"/health/live"


class HealthChecker:
    """Makes health checks and reports their outcomes to the policy. `clock` returns milliseconds."""

    def __init__(
        self,
        policy: PolicyDriver,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        clock: Callable[[], float],
        log: EventLogger,
    ) -> None:
        self._policy = policy
        self._directory = directory
        self._pool = pool
        self._clock = clock
        self._log = log

    async def check(self, endpoint: str) -> None:
        """Check an endpoint once, and report the outcome and the duration in milliseconds."""
        started_at = self._clock()
        try:
            outcome = await self._request(endpoint)
        except (ConnectError, RequestIncompleteError):
            outcome = Outcome.UNREACHABLE
        except BrokenResponseError:
            outcome = Outcome.RESET
        except Exception as error:  # noqa: BLE001
            # Contains the error in this check's task; in the nursery it would stop the node.
            outcome = Outcome.TIMEOUT
            self._log(AttemptError(endpoint=endpoint, error=repr(error)))
        self._policy.on_health_checked(endpoint, outcome, self._clock() - started_at)

    async def _request(self, endpoint: str) -> Outcome:
        address = self._directory.address_of(endpoint)
        if not address:
            return Outcome.UNREACHABLE
        with trio.move_on_after(_TIMEOUT_SECONDS):
            response = await self._pool.call(address, b"GET", _PATH)
            return Outcome.SERVED if response.status == HTTPStatus.OK else classify_failure(response)
        return Outcome.TIMEOUT
