"""Runs many dispatchers on the simulator's wire: parse, translate, reply. Decides nothing.

One JSON line in, one JSON line out, until the end of input.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, NamedTuple, TextIO

from burlmoor.config.settings import parse_settings
from burlmoor.errors import BurlmoorError
from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailJob,
    FetchEndpoints,
    LogWarning,
    RejectJob,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthChecked,
    JobRequest,
    PeerMessageReceived,
    ResponseStarted,
    TimerFired,
)
from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.types.settings import Settings

Row = list[Any]  # an event or a decision on the wire: its name, then its fields by position

# What a line is made of, for the text of an error.
_BATCH = "a batch"
_EVENT = "an event"
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
# Bits of a request's marks.
_WORK_HINT_IS_VALID = 1
_IS_CLIENT_RETRY = 2
# Kinds of heartbeat.
_STARTED = 1
_PROGRESS = 2


class MalformedLineError(BurlmoorError):
    """A line that is not of this wire; `expected` is what could not be read there."""

    def __init__(self, expected: str, cause: Exception) -> None:
        super().__init__(f"not {expected}: {cause!r}")
        self.expected = expected


def _field(row: Row, index: int) -> Any:
    return row[index] if index < len(row) else None


def _fields(row: Row, count: int) -> Row:
    """Return the first `count` fields; None stands for those that a shorter row lacks."""
    return (row + [None] * count)[:count]


# --- events -----------------------------------------------------------------------------------


def _parse_endpoint_list(row: Row) -> Event | None:
    kind = _LIST_KINDS.get(row[1])
    if kind is None:
        return None
    return EndpointListUpdate(kind, [_parse_endpoint(entry) for entry in _field(row, 3) or ()])


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
    return HealthChecked(str(row[1]), _OUTCOMES.get(row[2], Outcome.ERROR), float(_field(row, 3) or 0.0))


def _parse_response_start(row: Row) -> Event | None:
    return ResponseStarted(int(row[1]), int(_field(row, 3) or 0), str(_field(row, 4)))


def _parse_peer_message(row: Row) -> Event | None:
    # A message's bytes are opaque: the policy reads none.
    return PeerMessageReceived(int(row[1] or 0), str(_field(row, 2) or "").encode())


_EVENT_PARSERS: dict[str, Callable[[Row], Event | None]] = {
    "Registry": _parse_endpoint_list,
    "Knock": _parse_job_request,
    "UnderWay": _parse_response_start,
    "Heartbeat": _parse_heartbeat,
    "Settled": _parse_attempt_end,
    "Withdrawn": lambda row: ClientDisconnected(int(row[1])),
    "Health": _parse_health_check,
    "Mail": _parse_peer_message,
    "Fired": lambda row: TimerFired(int(row[1])),
}


class _Spawn(NamedTuple):
    """A dispatcher starts, in the place of the one before it if there was one."""

    seed: int
    settings: Settings


class _Kill(NamedTuple):
    """A dispatcher ends."""


def _parse_row(row: Row) -> Event | _Spawn | _Kill | None:
    """Return what a row says; None for what is unknown, which is skipped.

    Raises MalformedLineError.
    """
    try:
        name = row[0]
        if name == _SPAWN:
            return _Spawn(int(row[1]), parse_settings(row[2]).policy)
        if name == _KILLED:
            return _Kill()
        parse = _EVENT_PARSERS.get(name)
        return parse(row) if parse else None
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise MalformedLineError(_EVENT, error) from error


# --- actions ----------------------------------------------------------------------------------

_ACTION_ENCODERS: dict[type[Action], Callable[[Any], Row]] = {
    StartAttempt: lambda action: ["Issue", action.id, action.endpoint, action.timeout_ms],
    RejectJob: lambda action: ["OverloadReply", action.id, action.retry_after_ms],
    FailJob: lambda action: ["ReportFailure", action.id],
    CancelAttempt: lambda action: ["Abandon", action.id, action.attempt],
    SetTimer: lambda action: ["Remind", action.delay_ms, action.token],
    WatchEndpoints: lambda _action: ["KeepInformed", True],
    FetchEndpoints: lambda _action: ["Reload"],
    CheckHealth: lambda action: ["Check", action.endpoint],
    LogWarning: lambda action: ["Debug", action.text],
}


def _encode_internal_error(error: Exception) -> list[Row]:
    return [["InternalError", repr(error)]]


class DispatcherHost:
    """Owns the dispatchers of one process, each knowing only its own events."""

    def __init__(self) -> None:
        self._dispatchers: dict[int, Dispatcher] = {}

    def reply(self, line: str) -> str:
        """Return the reply line to one batch line.

        Raises MalformedLineError.
        """
        try:
            batch = json.loads(line)
            now = float(batch["Moment"])
            parts = [(part["I"], part.get("events") or ()) for part in batch["parts"]]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise MalformedLineError(_BATCH, error) from error
        replies = []
        for instance, rows in parts:
            decisions = self._handle_rows(now, instance, rows)
            if decisions:
                replies.append({"I": instance, "decisions": decisions})
        return json.dumps({"parts": replies}, separators=(",", ":"))

    def _handle_rows(self, now: float, instance: int, rows: Iterable[Row]) -> list[Row]:
        """Start and end dispatchers, and return the decisions of the one that is there in the end."""
        events: list[Event] = []
        for row in rows:
            parsed = _parse_row(row)
            if isinstance(parsed, _Spawn | _Kill):
                # What came before belongs to the dispatcher that has ended: nobody waits for its decisions.
                self._dispatchers.pop(instance, None)
                events.clear()
                if isinstance(parsed, _Spawn):
                    try:
                        self._dispatchers[instance] = Dispatcher(parsed.settings, parsed.seed)
                    except Exception as error:  # noqa: BLE001
                        # The simulator gets a policy's exception as a decision, and goes on without it.
                        return _encode_internal_error(error)
            elif parsed is not None:
                events.append(parsed)
        return self._decide(now, instance, events)

    def _decide(self, now: float, instance: int, events: list[Event]) -> list[Row]:
        dispatcher = self._dispatchers.get(instance)
        if dispatcher is None or not events:
            return []
        try:
            return [_ACTION_ENCODERS[type(action)](action) for action in dispatcher.handle(now, events)]
        except Exception as error:  # noqa: BLE001
            # As above: one instance's exception must not end the others.
            return _encode_internal_error(error)


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer each line of `source` on `sink` until the end of input."""
    host = DispatcherHost()
    for line in source:
        sink.write(host.reply(line) + "\n")
        sink.flush()


def main() -> int:
    """Run on standard input and output; return the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedLineError as error:
        print(f"burlmoor: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
