"""Why jobs end without a result, attempts are cancelled and connections closed: for log and counters."""

from __future__ import annotations

from enum import Enum


class EndReason(Enum):
    """Why a job ended without a result; the value is its name in the log."""

    OVERLOAD = "overload"  # shed: the queue holds more than can be in time
    TOO_LATE = "too-late"  # queued for so long that no endpoint can be in time any more
    NOT_STARTED = "not-started"  # its attempts had not started when an answer was no longer useful
    DEADLINE = "deadline"  # the deadline is near, or has passed
    NO_RETRY = "no-retry"  # an attempt brought no answer, and another one is not allowed or not useful
    SHUTDOWN = "shutdown"  # this process ends
    RUN_CONDITIONS = "run-conditions"  # ended while deferred
    DISCONNECTED = "client-disconnected"


class CancelReason(Enum):
    """Why the node cancelled an attempt; the value is its name in the log."""

    OVERDUE = "overdue"  # not started in the time that a start usually takes
    SILENT = "silent"  # started, and reports no progress
    SUPERSEDED = "superseded"  # another attempt of its job has started
    JOB_OVER = "job-over"  # its job needs no answer any more
    OUT_OF_TIME = "out-of-time"  # its own deadline or its job's has passed
    ENDPOINT_NOT_LIVE = "endpoint-not-live"  # drains or is gone, and had not accepted the job
    NO_RESPONSE = "no-response"  # neither accepted nor rejected in time
    INVALID_RESPONSE = "invalid-response"
    INTERNAL_ERROR = "internal-error"


class CloseReason(Enum):
    """Why a connection was closed; the value is its name in the log."""

    PEER_CLOSED = "peer-closed"
    LAST_RESPONSE = "last-response"  # after a response that ends the connection
    INVALID_REQUEST = "invalid-request"
    TIMED_OUT = "timed-out"  # in its present state for longer than that may last
    MADE_ROOM = "made-room"  # evicted: another connection needed its place
    IDLE = "idle"  # unused for too long, or one of too many idle ones
    SHUTDOWN = "shutdown"  # idle while the node sends its clients away
    ENDPOINT_CHANGED = "endpoint-changed"  # the endpoint is another process now
    ATTEMPT_CANCELLED = "attempt-cancelled"  # its attempt was cancelled
    BROKEN = "broken"  # an error of the socket, or no valid response
    ERROR = "error"  # an internal error
