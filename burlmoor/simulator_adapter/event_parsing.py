"""Parses events of the simulator's protocol into events of the policy.

An event is a row: its name, then its fields by position. The last fields may be missing or null.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burlmoor.config.settings import parse_settings
from burlmoor.simulator_adapter.wire import LineElement, MalformedLineError, Row
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    EndpointListUpdate,
    Event,
    HealthChecked,
    JobClosed,
    JobRequest,
    PeerMessageReceived,
    ResponseStarted,
    TimerFired,
)
from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.types.settings import Settings

_SPAWN = "Spawn"
_KILLED = "Killed"
_OUTCOMES = {
    "served": Outcome.SERVED,
    "server_error": Outcome.ERROR,
    "turned_away": Outcome.OVERLOADED,
    "no_answer": Outcome.TIMEOUT,
    "no_connection": Outcome.UNREACHABLE,
    "connection_lost": Outcome.RESET,
    "called_off": Outcome.CANCELLED,
    "not_sent": Outcome.UNSENT,
}
_ENDPOINT_STATES = {
    "live": EndpointState.LIVE,
    "quiescing": EndpointState.DRAINING,
    "dead": EndpointState.GONE,
}
_LIST_KINDS = {
    "diff": ListKind.DELTA,
    "snapshot": ListKind.SNAPSHOT,
    "disk": ListKind.CACHED,
    "error": ListKind.FAILED,
}
# Flags in the marks of a job request.
_WORK_HINT_IS_VALID = 1
_IS_CLIENT_RETRY = 2
# The kinds of heartbeat.
_STARTED = 1
_PROGRESS = 2


def _fields(row: Row, count: int) -> Row:
    """Return the first `count` fields; those missing from a shorter row are None."""
    return (row + [None] * count)[:count]


def _parse_endpoint_list(row: Row) -> Event | None:
    kind = _LIST_KINDS.get(row[1])
    if kind is None:
        return None
    _, _kind, _version, entries = _fields(row, 4)
    return EndpointListUpdate(kind, [_parse_endpoint(entry) for entry in entries or ()])


def _parse_endpoint(entry: Row) -> EndpointEntry:
    return EndpointEntry(
        endpoint=str(entry[6]),
        state=_ENDPOINT_STATES.get(entry[0], EndpointState.GONE),
        zone=str(entry[1] or ""),
        weight=1.0 if entry[2] is None else float(entry[2]),
        cell=int(entry[3] or 0),
        kind=str(entry[4] or ""),
        started_at=float(entry[5] or 0.0),
    )


def _parse_job_request(row: Row) -> Event | None:
    _, job, job_class, slots, memory, timeout_ms, work_ms, tenant, key, marks = _fields(row, 10)
    flags = int(marks or 0)
    return JobRequest(
        id=int(job),
        job_class=str(job_class),
        timeout_ms=float(timeout_ms or 0.0),
        work_ms=float(work_ms or 0.0) if flags & _WORK_HINT_IS_VALID else 0.0,
        slots=1.0 if slots is None else float(slots),
        memory=float(memory or 0.0),
        tenant=str(tenant or ""),
        affinity_key=str(key or ""),
        is_client_retry=bool(flags & _IS_CLIENT_RETRY),
    )


def _parse_heartbeat(row: Row) -> Event | None:
    _, job, kind, endpoint, progress, attempt = _fields(row, 6)
    if kind == _STARTED:
        return AttemptStarted(int(job), int(attempt or 0), str(endpoint))
    if kind == _PROGRESS:
        return AttemptProgressed(int(job), int(attempt or 0), str(endpoint), float(progress or 0.0))
    return None


def _parse_attempt_end(row: Row) -> Event | None:
    _, job, elapsed_ms, outcome, _progress, attempt, is_closed, endpoint = _fields(row, 8)
    return AttemptEnded(
        int(job),
        int(attempt or 0),
        str(endpoint),
        _OUTCOMES.get(outcome, Outcome.ERROR),
        float(elapsed_ms or 0.0),
        bool(is_closed),
    )


def _parse_health_check(row: Row) -> Event | None:
    outcome = _OUTCOMES.get(row[2], Outcome.ERROR)
    _, endpoint, _outcome, elapsed_ms = _fields(row, 4)
    return HealthChecked(str(endpoint), outcome, float(elapsed_ms or 0.0))


def _parse_response_start(row: Row) -> Event | None:
    job = int(row[1])
    _, _job, _at, attempt, endpoint = _fields(row, 5)
    return ResponseStarted(job, int(attempt or 0), str(endpoint))


def _parse_peer_message(row: Row) -> Event | None:
    # The encoding of the message does not matter: the policy never reads its bytes.
    sender = int(row[1] or 0)
    _, _sender, data = _fields(row, 3)
    return PeerMessageReceived(sender, str(data or "").encode())


_EVENT_PARSERS: dict[str, Callable[[Row], Event | None]] = {
    "Registry": _parse_endpoint_list,
    "Knock": _parse_job_request,
    "UnderWay": _parse_response_start,
    "Heartbeat": _parse_heartbeat,
    "Settled": _parse_attempt_end,
    "Withdrawn": lambda row: JobClosed(int(row[1])),
    "Health": _parse_health_check,
    "Mail": _parse_peer_message,
    "Fired": lambda row: TimerFired(int(row[1])),
}


class Spawn(NamedTuple):
    """Starts a dispatcher, which replaces any previous one of the instance."""

    seed: int
    settings: Settings


class Kill(NamedTuple):
    """Ends a dispatcher."""


def parse_row(row: Row) -> Event | Spawn | Kill | None:
    """Parse a row into an event, or the start or end of a dispatcher; return None for an unknown row.

    Raises:
        MalformedLineError: a field is missing or of the wrong type.
    """
    try:
        name = row[0]
        if name == _SPAWN:
            return Spawn(int(row[1]), parse_settings(row[2]).policy)
        if name == _KILLED:
            return Kill()
        parse = _EVENT_PARSERS.get(name)
        return parse(row) if parse else None
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise MalformedLineError(LineElement.EVENT, error) from error
