"""Carries forwards to targets: one task a forward, from the connect to the 202."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.endpoint_table import ListedEndpoint
from burlmoor.engine.engine import Engine
from burlmoor.engine.job import Attempt
from burlmoor.log import EventLogger
from burlmoor.types.outcome import Outcome
from burlmoor.types.payload import Payload
from burlmoor.upstream.http import BrokenResponseError, Response
from burlmoor.upstream.pool import ConnectError, ConnectionPool, PooledConnection, RequestNotSentError

# Seconds in which a target takes or refuses a forward: measured 0.3 at most, where it stood still meanwhile.
_TAKEN_WITHIN = 0.45
_GIVE_UP_WITHIN = 2.0  # seconds that a DELETE may take
_PROBE_WITHIN = 0.5
_TAKEN = 202


class _Unwanted(Exception):
    """The forward is not to go out: nobody waits for it any more, or its target has left."""


@dataclass(slots=True)
class _Exchange:
    """One forward on its way."""

    scope: trio.CancelScope
    taken: bool = False


class AttemptRunner:
    """Owns every forward that waits for its 202, and the calls that give forwards up."""

    def __init__(
        self,
        engine: Engine,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        nursery: trio.Nursery,
        clock: Callable[[], float],
        log: EventLogger,
    ) -> None:
        self._engine, self._directory, self._pool = engine, directory, pool
        self._nursery, self._clock, self._log = nursery, clock, log
        self._exchanges: dict[Attempt, _Exchange] = {}
        self.pending_cancels = 0  # DELETEs under way

    @property
    def in_flight(self) -> int:
        """How many forwards wait for their 202."""
        return len(self._exchanges)

    def start_attempt(self, forward: Attempt) -> None:
        """Start the forward."""
        self._exchanges[forward] = exchange = _Exchange(trio.CancelScope())
        self._nursery.start_soon(self._carry, forward, exchange)

    def cancel_attempt(self, forward: Attempt) -> None:
        """Give the forward up: by its connection before the 202, by a DELETE after it."""
        exchange = self._exchanges.get(forward)
        if exchange is not None and not exchange.taken:
            exchange.scope.cancel()
            self._engine.on_attempt_cancelled(forward)
        else:
            self.pending_cancels += 1
            self._nursery.start_soon(self._delete, forward)

    def check_health(self, target: str) -> None:
        """Look at a target."""
        self._nursery.start_soon(self._probe, target)

    async def _carry(self, forward: Attempt, exchange: _Exchange) -> None:
        try:
            with exchange.scope:
                outcome = await self._attempt(forward, exchange)
                if outcome is not None:
                    self._engine.on_attempt_ended(forward, outcome)
        except Exception as error:
            # Guards against one forward's fault ending the node. Whether it ran is not known.
            self._log("attempt-error", target=forward.endpoint, error=repr(error))
            self._engine.on_attempt_ended(forward, Outcome.RESET)
        finally:
            del self._exchanges[forward]

    async def _attempt(self, forward: Attempt, exchange: _Exchange) -> Outcome | None:
        """The forward's end as far as this exchange tells it; None once the target has taken the job."""
        try:
            link = await self._written(forward)
        except _Unwanted:
            return Outcome.UNSENT
        except (ConnectError, RequestNotSentError):
            return Outcome.UNREACHABLE
        # What must not run twice can't go elsewhere anyway, so it waits for as long as its client does.
        limit = math.inf if forward.job.is_non_idempotent else _TAKEN_WITHIN
        reply: Response | None = None
        try:
            with trio.move_on_after(limit):
                reply = await link.read()
            if reply is None:
                # Guards against a connection that fell silent: a job would wait there until its deadline.
                raise BrokenResponseError("nothing came")
        except BrokenResponseError:
            self._pool.broken(link)
            link.close()
            return Outcome.RESET
        except BaseException:
            link.close()
            raise
        exchange.taken = reply.status == _TAKEN
        link.release()
        return None if exchange.taken else _outcome(reply)

    async def _written(self, forward: Attempt) -> PooledConnection:
        """A connection to which the whole request has been written."""
        # What must not run twice would be lost with a kept connection that turns out to be dead.
        fresh = forward.job.is_non_idempotent and self._pool.wary
        while True:
            target = self._wanted(forward)
            link = await (self._pool.connect(target.address) if fresh else self._pool.acquire(target.address))
            try:
                # All may have changed while it came up. Nothing waits from here to the first byte.
                if self._wanted(forward) != target:
                    raise _Unwanted("the target is another process now")
                payload: Payload = forward.job.payload
                left = max(1, int(forward.deadline - self._clock()))
                headers = [("Request-Id", forward.job.id), ("Request-Timeout-Ms", str(left))]
                if payload.idempotency_key:
                    headers.append(("Idempotency-Key", payload.idempotency_key))
                await link.write(payload.method, payload.path, headers, payload.body)
            except RequestNotSentError:
                link.close()
                if fresh or not link.is_reused:
                    raise
                # An idle connection that had gone stale: the request has not gone out, so it may go again.
                fresh = True
                continue
            except BaseException:
                link.close()
                raise
            return link

    def _wanted(self, forward: Attempt) -> ListedEndpoint:
        """The gate that each forward passes right before its first byte; `_Unwanted` where it may not go.

        Guards the drain rule, executors against jobs whose clients have left (also where settings bar a
        give-up, so that nothing else stops what waits for a connection), and rule 1 against a second copy of
        a job that is answered.
        """
        if forward.is_over or forward.job.is_over:
            raise _Unwanted("nobody waits for it any more")
        target = self._directory.find_live(forward.endpoint)
        if target is None:
            raise _Unwanted("the target is not live")
        return target

    async def _delete(self, forward: Attempt) -> None:
        dial = self._directory.address_of(forward.endpoint)
        path = f"/jobs/{forward.job.id}".encode()
        try:
            if dial:
                with trio.move_on_after(_GIVE_UP_WITHIN):
                    await self._pool.call(dial, b"DELETE", path)
                    self._engine.on_attempt_cancelled(forward)
        except ConnectError as error:
            if error.is_refused:  # the process is gone, and the job with it
                self._engine.on_attempt_cancelled(forward)
        except (RequestNotSentError, BrokenResponseError):
            return  # whether the target has heard is not known: the module gives it up again
        except Exception as error:
            # Guards against one call's fault ending the node.
            self._log("attempt-error", target=forward.endpoint, error=repr(error))
        finally:
            self.pending_cancels -= 1

    async def _probe(self, target: str) -> None:
        dial, began = self._directory.address_of(target), self._clock()
        outcome = Outcome.UNREACHABLE
        try:
            if dial:
                outcome = Outcome.TIMEOUT
                with trio.move_on_after(_PROBE_WITHIN):
                    reply = await self._pool.call(dial, b"GET", b"/health/live")
                    outcome = Outcome.SERVED if reply.status == 200 else _outcome(reply)
        except (ConnectError, RequestNotSentError):
            outcome = Outcome.UNREACHABLE
        except BrokenResponseError:
            outcome = Outcome.RESET
        except Exception as error:
            # Guards against one probe's fault ending the node.
            self._log("attempt-error", target=target, error=repr(error))
        self._engine.on_health_checked(target, outcome, self._clock() - began)


def _outcome(reply: Response) -> Outcome:
    """What an answer other than 202 says of the job."""
    # Only the header proves that it has not run: without it, 503 and 504 are errors like any other.
    if reply.status in (503, 504) and reply.headers.get(b"not-started", b"").strip() == b"1":
        return Outcome.OVERLOADED
    return Outcome.ERROR
