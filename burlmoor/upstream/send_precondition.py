"""The send precondition, which each attempt must meet right before the first byte of its request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.errors import BurlmoorError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.endpoint_table import ListedEndpoint
    from burlmoor.engine.job import Attempt


class SendPreconditionError(BurlmoorError):
    """An attempt must not be sent: its job is closed, it has ended, or its endpoint may get no new work."""

    def __init__(self, attempt: Attempt, reason: str) -> None:
        super().__init__(f"attempt {attempt.number} of {attempt.job.id} to {attempt.endpoint}: {reason}")
        self.attempt = attempt
        self.reason = reason


def check_send_precondition(attempt: Attempt, directory: EndpointDirectory) -> ListedEndpoint:
    """Check that an attempt may be sent now, and return the endpoint to send it to.

    Three conditions must hold:

    - The job is open and its client connected. Executors do no work for clients that have disconnected, and
      no hedged request is sent for a job that has its final answer. If cancellation is disabled, only
      this check stops such an attempt.
    - The attempt is not over: it has neither ended nor been cancelled.
    - The endpoint is live: neither draining, nor gone, nor disabled by an override. Once the
      node was notified that an endpoint drains, it must send no new work there.

    The caller must not suspend between this check and the first byte, since another task could change these
    conditions.

    Raises:
        SendPreconditionError: one of the conditions does not hold.
    """
    if attempt.is_over or attempt.job.is_closed:
        raise SendPreconditionError(attempt, "the job is closed or the attempt is over")
    responder = attempt.job.responder
    if responder is not None and responder.detect_disconnect():
        raise SendPreconditionError(attempt, "the client has disconnected")
    endpoint = directory.find_live(attempt.endpoint)
    if endpoint is None:
        raise SendPreconditionError(attempt, "the endpoint is not live")
    return endpoint


def check_send_time(attempt: Attempt, clock: Callable[[], float]) -> None:
    """Check that it is not too late to send an attempt: since the policy chose it, the node may have waited.

    - Its deadline is not over.
    - If the job may have run in another attempt, its window for repeats is not over. Executors then no longer
      know its idempotency key, and would run it again.

    As with the other conditions, the caller must not suspend between this check and the first byte. The
    process may be stalled there, so the clock, which returns ms, is read last, and only the write follows.

    Raises:
        SendPreconditionError: it is too late.
    """
    latest_send_at = attempt.job.latest_send_at(attempt)
    now = clock()
    if now >= attempt.deadline:
        raise SendPreconditionError(attempt, "its deadline is over")
    if now > latest_send_at:
        raise SendPreconditionError(attempt, "the window for repeats is over")


def recheck_send_precondition(
    attempt: Attempt, directory: EndpointDirectory, connected_to: ListedEndpoint
) -> None:
    """Repeat the check once connected, and check that the endpoint's process has not been replaced meanwhile.

    Raises:
        SendPreconditionError: the attempt must not use this connection.
    """
    if check_send_precondition(attempt, directory) != connected_to:
        raise SendPreconditionError(attempt, "the endpoint's process was replaced during the connect")
