"""Errors on a connection to an endpoint, distinguished by what is known of the request."""

from __future__ import annotations

import trio

from burlmoor.errors import BurlmoorError


class ConnectError(BurlmoorError):
    """No connection was established, so nothing of the request has been sent."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address  # `host:port`
        self.reason = reason


class RequestNotSentError(BurlmoorError):
    """The connection broke before the request's last byte was written, so the request has not run."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


class BrokenResponseError(BurlmoorError):
    """The response was not complete or not valid HTTP; whether the request has run is not known."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ConnectionEndedError(BrokenResponseError):
    """The peer closed the connection before the response was complete."""

    def __init__(self) -> None:
        super().__init__("the connection has ended")


class ResponseTooLongError(BrokenResponseError):
    """The response's body is longer than the `limit`, in bytes."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the response is too long, {limit} bytes are allowed")
        self.limit = limit


class ResponseTimeoutError(BrokenResponseError):
    """No response arrived in time."""

    def __init__(self, timeout_seconds: float) -> None:
        super().__init__(f"no response came within {timeout_seconds} s")
        self.timeout_seconds = timeout_seconds


_SENT_BY_PEER = (ConnectionRefusedError, ConnectionResetError, BrokenPipeError)


def is_sign_of_peer(error: BaseException) -> bool:
    """Return whether an error shows that the peer's machine can be reached.

    A refusal, a reset or any response is sent by the peer's machine. Errors that the local machine reports
    of a silent connection (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH), or of itself, show nothing.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, (trio.TooSlowError, OSError)):
            return isinstance(cause, _SENT_BY_PEER)
        cause = cause.__cause__
    return not isinstance(error, ConnectError)
