"""Hosts many dispatchers on the simulator's wire: parse, translate, reply. Decides nothing.

One JSON line in, one JSON line out, until the end of input.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from burlmoor.config.settings import parse_settings
from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.actions import (
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

Row = list[Any]

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
_STATES = {"live": EndpointState.LIVE, "quiescing": EndpointState.DRAINING, "dead": EndpointState.GONE}
_FORMS = {
    "diff": ListKind.DELTA,
    "snapshot": ListKind.SNAPSHOT,
    "disk": ListKind.CACHED,
    "error": ListKind.FAILED,
}
_HINT_VALID, _CLIENT_RETRY = 1, 2
_STARTED, _PROGRESS = 1, 2


class MalformedLine(Exception):
    """A line that is not of this wire."""


def _at(row: Row, index: int) -> Any:
    return row[index] if index < len(row) else None


# --- events -----------------------------------------------------------------------------------


def _members(row: Row) -> Event | None:
    form = _FORMS.get(row[1])
    if form is None:
        return None
    entries = [
        EndpointEntry(
            endpoint=str(entry[6]),
            state=_STATES.get(entry[0], EndpointState.GONE),
            zone=str(entry[1] or ""),
            weight=1.0 if entry[2] is None else float(entry[2]),
            cell=int(entry[3] or 0),
            kind=str(entry[4] or ""),
            started_at=float(entry[5] or 0.0),
        )
        for entry in _at(row, 3) or ()
    ]
    return EndpointListUpdate(form, entries)


def _request(row: Row) -> Event | None:
    _, ref, job_class, slots, memory, patience, work, tenant, key, marks = (row + [None] * 9)[:10]
    flags = int(marks or 0)
    return JobRequest(
        id=int(ref),
        job_class=str(job_class),
        timeout_ms=float(patience or 0.0),
        work_ms=float(work or 0.0) if flags & _HINT_VALID else 0.0,
        slots=1.0 if slots is None else float(slots),
        memory=float(memory or 0.0),
        tenant=str(tenant or ""),
        affinity_key=str(key or ""),
        is_client_retry=bool(flags & _CLIENT_RETRY),
    )


def _note(row: Row) -> Event | None:
    _, ref, what, executor, value, attempt = (row + [None] * 5)[:6]
    if what == _STARTED:
        return AttemptStarted(int(ref), int(attempt or 0), str(executor))
    if what == _PROGRESS:
        return AttemptProgressed(int(ref), int(attempt or 0), str(executor), float(value or 0.0))
    return None


def _settled(row: Row) -> Event | None:
    _, ref, elapsed, how, _note_value, attempt, closed, executor = (row + [None] * 7)[:8]
    outcome = _OUTCOMES.get(how, Outcome.ERROR)
    return AttemptEnded(
        int(ref), int(attempt or 0), str(executor), outcome, float(elapsed or 0.0), bool(closed)
    )


def _health(row: Row) -> Event | None:
    return HealthChecked(str(row[1]), _OUTCOMES.get(row[2], Outcome.ERROR), float(_at(row, 3) or 0.0))


_EVENTS: dict[str, Callable[[Row], Event | None]] = {
    "Registry": _members,
    "Knock": _request,
    "UnderWay": lambda row: ResponseStarted(int(row[1]), int(_at(row, 3) or 0), str(_at(row, 4))),
    "Heartbeat": _note,
    "Settled": _settled,
    "Withdrawn": lambda row: ClientDisconnected(int(row[1])),
    "Health": _health,
    # A message's bytes are opaque here: the module reads none.
    "Mail": lambda row: PeerMessageReceived(int(row[1] or 0), str(_at(row, 2) or "").encode()),
    "Fired": lambda row: TimerFired(int(row[1])),
}

# --- actions ----------------------------------------------------------------------------------

_ACTIONS: dict[type, Callable[[Any], Row]] = {
    StartAttempt: lambda a: ["Issue", a.id, a.endpoint, a.timeout_ms],
    RejectJob: lambda a: ["OverloadReply", a.id, a.retry_after_ms],
    FailJob: lambda a: ["ReportFailure", a.id],
    CancelAttempt: lambda a: ["Abandon", a.id, a.attempt],
    SetTimer: lambda a: ["Remind", a.delay_ms, a.token],
    WatchEndpoints: lambda a: ["KeepInformed", True],
    FetchEndpoints: lambda a: ["Reload"],
    CheckHealth: lambda a: ["Check", a.endpoint],
    LogWarning: lambda a: ["Debug", a.text],
}


class Host:
    """The dispatchers of one process, each knowing only its own events."""

    def __init__(self) -> None:
        self._nodes: dict[int, Dispatcher] = {}

    def reply(self, line: str) -> str:
        """The reply line to one batch line."""
        try:
            batch = json.loads(line)
            now = float(batch["Moment"])
            parts = [(part["I"], part.get("events") or ()) for part in batch["parts"]]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise MalformedLine(f"not a batch: {error!r}") from error
        answers = []
        for instance, rows in parts:
            decisions = self._decide(now, instance, rows)
            if decisions:
                answers.append({"I": instance, "decisions": decisions})
        return json.dumps({"parts": answers}, separators=(",", ":"))

    def _decide(self, now: float, instance: int, rows: Iterable[Row]) -> list[Row]:
        events: list[Event] = []
        decisions: list[Row] = []
        for row in rows:
            try:
                name = row[0]
                if name == "Spawn":
                    seed, options = int(row[1]), row[2]
                    settings = parse_settings(options).policy
                elif name != "Killed":
                    read = _EVENTS.get(name)
                    event = read(row) if read else None
                    if event is not None:
                        events.append(event)
                    continue
            except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
                raise MalformedLine(f"not an event: {error!r}") from error
            # What came before the end of a life still belongs to that life; nobody waits for its answer.
            self._nodes.pop(instance, None)
            events.clear()
            if name == "Spawn":
                try:
                    self._nodes[instance] = Dispatcher(settings, seed)
                except Exception as error:
                    return [["InternalError", repr(error)]]
        node = self._nodes.get(instance)
        if node is not None and events:
            try:
                decisions += [_ACTIONS[type(action)](action) for action in node.handle(now, events)]
            except Exception as error:
                return [["InternalError", repr(error)]]
        return decisions


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer each line of `source` on `sink` until the end of input."""
    host = Host()
    for line in source:
        sink.write(host.reply(line) + "\n")
        sink.flush()


def main() -> int:
    """Run on standard input and output; the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedLine as error:
        print(f"burlmoor: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
