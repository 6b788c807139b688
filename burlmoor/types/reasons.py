"""Reasons why jobs end without a result, attempts are cancelled and connections are closed.

The log and the counters use them.
"""

from __future__ import annotations

from enum import Enum


class EndReason(Enum):
    """Why a job ended without a result; the value is its name in the log."""

    OVERLOAD = "overload"  # shed: the queue has more jobs than can finish in time
    TOO_LATE = "too-late"  # queued for so long that no endpoint can finish it in time
    NOT_STARTED = "not-started"  # no attempt had started by the time when an answer was no longer useful
    DEADLINE = "deadline"  # the deadline is near, or has passed
    NO_RETRY = "no-retry"  # an attempt ended without an answer, and another one is not allowed or not useful
    SHUTDOWN = "shutdown"  # the process is shutting down
    RUN_CONDITIONS = "run-conditions"  # ended while deferred, without being released
    DISCONNECTED = "client-disconnected"


class CancelReason(Enum):
    """Why the node cancelled an attempt; the value is its name in the log."""

    OVERDUE = "overdue"  # not started in the time that a start usually takes
    SILENT = "silent"  # started, but reports no progress
    SUPERSEDED = "superseded"  # another attempt of its job has started
    JOB_OVER = "job-over"  # its job no longer needs an answer
    OUT_OF_TIME = "out-of-time"  # its own deadline or that of its job has passed
    ENDPOINT_NOT_LIVE = "endpoint-not-live"  # draining or removed, and had not accepted the job
    NO_RESPONSE = "no-response"  # neither accepted nor rejected in time
    INVALID_RESPONSE = "invalid-response"
    INTERNAL_ERROR = "internal-error"


class CloseReason(Enum):
    """Why a connection was closed; the value is its name in the log."""

    PEER_CLOSED = "peer-closed"
    LAST_RESPONSE = "last-response"  # after a response that ends the connection
    INVALID_REQUEST = "invalid-request"
    TIMED_OUT = "timed-out"  # in one state for longer than its time limit
    MADE_ROOM = "made-room"  # evicted in favour of another connection
    IDLE = "idle"  # unused for too long, or one of too many idle ones
    SHUTDOWN = "shutdown"  # idle during a graceful shutdown
    ENDPOINT_CHANGED = "endpoint-changed"  # the endpoint is now another process
    ATTEMPT_CANCELLED = "attempt-cancelled"  # its attempt was cancelled, or had ended before its response
    BROKEN = "broken"  # an error of the socket, or no valid response
    ERROR = "error"  # an internal error
