"""Errors on a connection, distinguished by whether its request may have run."""

from __future__ import annotations

import trio

from burlmoor.errors import BurlmoorError


class ConnectError(BurlmoorError):
    """No connection was established, so no part of the request was sent."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"cannot connect to {address}: {reason}")
        self.address = address  # `host:port`
        self.reason = reason


class RequestIncompleteError(BurlmoorError):
    """The connection broke before the request's last byte was written, so the request has not run."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"request to {address} was not completely written: {reason}")
        self.address = address
        self.reason = reason


class BrokenResponseError(BurlmoorError):
    """No complete, valid response arrived, so it is not known whether the request has run.

    The connection ended, the bytes were not valid HTTP, or a limit of length or time was exceeded.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ConnectionEndedError(BrokenResponseError):
    """The peer closed the connection before the response was complete."""

    def __init__(self) -> None:
        super().__init__("the peer closed the connection before the response was complete")


class ResponseTooLongError(BrokenResponseError):
    """The body of the response is longer than `limit` bytes."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the response body exceeds the limit of {limit} bytes")
        self.limit = limit


class ResponseTimeoutError(BrokenResponseError):
    """No complete response arrived within the timeout."""

    def __init__(self, timeout_seconds: float) -> None:
        super().__init__(f"no complete response within {timeout_seconds} s")
        self.timeout_seconds = timeout_seconds


_ERRORS_FROM_PEER = (ConnectionRefusedError, ConnectionResetError, BrokenPipeError)


def shows_peer_reachable(error: BaseException) -> bool:
    """Return whether an error proves that the peer's machine is reachable.

    A refusal, a reset or any response comes from the peer's machine. Errors that the local kernel reports
    prove nothing: for a connection without response (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH), or for lack of
    local resources.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, (trio.TooSlowError, OSError)):
            return isinstance(cause, _ERRORS_FROM_PEER)
        cause = cause.__cause__
    return not isinstance(error, ConnectError)
