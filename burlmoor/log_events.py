"""Every event that a node writes to its log, with its fields.

`docs/on-call.md` says what each event means to an operator. To add one, add a class here and a row there; the
tag is the event's name, and a field is written under its own name unless `msgspec.field(name=...)` gives
another. Fields that are `UNSET` are omitted from the line.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import UNSET, UnsetType

if TYPE_CHECKING:
    from collections.abc import Mapping

_TAG_FIELD = "event"


class LogEvent(msgspec.Struct, frozen=True, kw_only=True, tag_field=_TAG_FIELD):
    """One line of the log."""

    @classmethod
    def event_name(cls) -> str:
        """Return the name under which events of this type are logged."""
        return str(cls.__struct_config__.tag)

    def to_line(self) -> dict[str, Any]:
        """Return the event's name, as `event`, and its fields, in the form in which they are logged."""
        line: dict[str, Any] = msgspec.to_builtins(self)
        return line


class Started(LogEvent, tag="started", frozen=True, kw_only=True):
    """The node has started and accepts clients."""

    listen: str  # `host:port`
    version: int | None  # of the endpoint list; None: there is no list yet
    took_over: bool  # from another process, by a handover


class Reloaded(LogEvent, tag="reloaded", frozen=True, kw_only=True):
    """The configuration was read again after SIGHUP."""

    discovery: str  # `host:port`
    needs_restart: list[str]  # changed fields that take effect only at a restart


class ReloadFailed(LogEvent, tag="reload-failed", frozen=True, kw_only=True):
    """The configuration read after SIGHUP is invalid; the node keeps the one that it has."""

    error: str


class ShutdownStarted(LogEvent, tag="shutdown-started", frozen=True, kw_only=True):
    """A signal has started the graceful shutdown."""

    open_jobs: int
    stalled_seconds: float  # how long the process was stalled before it received the signal


class ShutdownFinished(LogEvent, tag="shutdown-finished", frozen=True, kw_only=True):
    """All jobs are answered; the process ends."""

    violations: dict[str, int]  # by invariant
    counts: dict[str, dict[str, int]]  # all counts of this process, by group and reason


class EndpointConnections(msgspec.Struct, frozen=True, kw_only=True):
    """How many connections to endpoints a node has at the time of a `counts` event."""

    open: int  # idle or in use; no attempt can be sent while they are at the limit and none is idle
    idle: int
    limit: int


class ProcessUsage(msgspec.Struct, frozen=True, kw_only=True):
    """What a node's process holds at the time of a `counts` event."""

    peak_memory_mb: int = msgspec.field(name="peak-memory-mb")  # resident, since the process started
    clients: int  # connections of clients and call-backs
    jobs: int  # open, or closed with open attempts


class Counts(LogEvent, tag="counts", frozen=True, kw_only=True):
    """The counts since the last line of this event, by group and reason."""

    endpoint_connections: EndpointConnections = msgspec.field(name="endpoint-connections")
    process: ProcessUsage
    jobs: dict[str, int] | UnsetType = UNSET
    retries: dict[str, int] | UnsetType = UNSET
    cancels: dict[str, int] | UnsetType = UNSET
    client_closes: dict[str, int] | UnsetType = msgspec.field(name="client-closes", default=UNSET)
    prevented_closes: dict[str, int] | UnsetType = msgspec.field(name="prevented-closes", default=UNSET)
    excess_input: dict[str, int] | UnsetType = msgspec.field(name="excess-input", default=UNSET)
    late_closes: dict[str, int] | UnsetType = msgspec.field(name="late-closes", default=UNSET)
    endpoint_closes: dict[str, int] | UnsetType = msgspec.field(name="endpoint-closes", default=UNSET)

    @classmethod
    def from_groups(
        cls,
        groups: Mapping[str, dict[str, int]],
        endpoint_connections: EndpointConnections,
        process: ProcessUsage,
    ) -> Counts:
        """Build the event from the counts of each group, by the group's name in the log."""
        fields = {group.replace("-", "_"): counts for group, counts in groups.items()}
        return cls(endpoint_connections=endpoint_connections, process=process, **fields)


class LogDropped(LogEvent, tag="log-dropped", frozen=True, kw_only=True):
    """Lines were dropped in the last window, because events exceeded their limits."""

    events: dict[str, int]  # how many lines, by event


class AttemptTimeline(msgspec.Struct, frozen=True, kw_only=True):
    """The state changes of one attempt in `job-ended`, in ms since the request was received."""

    endpoint: str
    selected: float
    written: float | UnsetType = UNSET
    accepted: float | UnsetType = UNSET
    started: float | UnsetType = UNSET
    cancelled: float | UnsetType = UNSET
    ended: float | UnsetType = UNSET
    cancel_reason: str | UnsetType = UNSET
    outcome: str | UnsetType = UNSET


class JobEnded(LogEvent, tag="job-ended", frozen=True, kw_only=True):
    """A job has ended; not logged if its first and only attempt served it."""

    id: str
    job_class: str
    answer: str
    reason: str | None
    after_ms: float
    attempts: list[AttemptTimeline]


class AnsweredAtShutdown(LogEvent, tag="answered-at-shutdown", frozen=True, kw_only=True):
    """The engine answered a job still open at the end of a shutdown, when all jobs have to be answered."""

    id: str


class AnsweredAtDeadline(LogEvent, tag="answered-at-deadline", frozen=True, kw_only=True):
    """The engine answered a job that the policy had left open until its deadline."""

    id: str


class InvariantViolated(LogEvent, tag="invariant-violated", frozen=True, kw_only=True):
    """An invariant on attempts was violated."""

    invariant: str
    count: int  # violations of this invariant so far
    id: str | UnsetType = UNSET
    endpoint: str | UnsetType = UNSET
    attempt: int | UnsetType = UNSET
    address: str | UnsetType = UNSET  # of the connection, if no attempt is known


class AttemptWithdrawn(LogEvent, tag="attempt-withdrawn", frozen=True, kw_only=True):
    """An attempt was cancelled because its endpoint ceased to be live before it accepted the job."""

    id: str
    endpoint: str
    attempt: int
    written: bool  # whether the request had been written completely


class AttemptError(LogEvent, tag="attempt-error", frozen=True, kw_only=True):
    """An internal error occurred during an attempt, a cancellation or a health check."""

    endpoint: str
    error: str


class PolicyWarning(LogEvent, tag="policy-warning", frozen=True, kw_only=True):
    """The policy issued a warning."""

    text: str


class PolicyFailed(LogEvent, tag="policy-failed", frozen=True, kw_only=True):
    """The policy raised an exception; its decisions on one batch of events are lost."""

    error: str


class ActionFailed(LogEvent, tag="action-failed", frozen=True, kw_only=True):
    """An internal error occurred while an action of the policy was carried out."""

    action: str
    error: str


class RequestRejected(LogEvent, tag="request-rejected", frozen=True, kw_only=True):
    """A request was answered before it became a job."""

    id: str | UnsetType = UNSET
    status: int
    reason: str


class ConnectionFailed(LogEvent, tag="connection-failed", frozen=True, kw_only=True):
    """An internal error occurred on an accepted connection."""

    error: str


class UnreadInputDiscarded(LogEvent, tag="unread-input-discarded", frozen=True, kw_only=True):
    """A connection of a client or call-back was closed although input had arrived that was not handled."""

    reason: str
    bytes: int  # that arrived unread; counted up to 16 KiB
    buffered: int  # bytes that were read but not parsed
    last_id: str | UnsetType = msgspec.field(name="last-id", default=UNSET)
    seconds: float  # in the state in which it was closed


class EventLoopStalled(LogEvent, tag="event-loop-stalled", frozen=True, kw_only=True):
    """The process did not run its tasks for some time, because it was paused or busy with one of them."""

    seconds: float


class DescriptorsExhausted(LogEvent, tag="descriptors-exhausted", frozen=True, kw_only=True):
    """No file descriptor was available for a new connection."""

    error: str


class DiscoveryFailed(LogEvent, tag="discovery-failed", frozen=True, kw_only=True):
    """A call to discovery failed."""

    error: str
    failures: int  # in a row


class DiscoveryRecovered(LogEvent, tag="discovery-recovered", frozen=True, kw_only=True):
    """Discovery answers again."""

    failures: int
    version: int | None
    age_seconds: float  # of the list before this answer


class WatchTimedOut(LogEvent, tag="watch-timed-out", frozen=True, kw_only=True):
    """A watch got no answer in time."""

    failures: int
    age_seconds: float


class EndpointListStale(LogEvent, tag="endpoint-list-stale", frozen=True, kw_only=True):
    """Discovery answered no call before the notification deadline, so list changes may have been missed."""

    age_seconds: float


class EndpointListSuspended(LogEvent, tag="endpoint-list-suspended", frozen=True, kw_only=True):
    """The lease on the endpoint list has expired; nothing new is sent."""

    age_seconds: float
    version: int | None


class EndpointListResumed(LogEvent, tag="endpoint-list-resumed", frozen=True, kw_only=True):
    """The lease on the endpoint list is valid again."""

    version: int | None


class EndpointsDraining(LogEvent, tag="endpoints-draining", frozen=True, kw_only=True):
    """Endpoints that were live are draining or gone."""

    count: int
    names: list[str]  # of some of them
    version: int | None


class EndpointListInvalidEntries(LogEvent, tag="endpoint-list-invalid-entries", frozen=True, kw_only=True):
    """Entries of an endpoint list are invalid and were skipped."""

    error: str  # in the first of them
    count: int


class HandoverCompleted(LogEvent, tag="handover-completed", frozen=True, kw_only=True):
    """The successor accepts clients in place of this process."""

    open_jobs: int


class HandoverReverted(LogEvent, tag="handover-reverted", frozen=True, kw_only=True):
    """The successor has ended; this process accepts clients again."""


class HandoverTimedOut(LogEvent, tag="handover-timed-out", frozen=True, kw_only=True):
    """The predecessor did not send its state in time."""


class HandoverUnavailable(LogEvent, tag="handover-unavailable", frozen=True, kw_only=True):
    """No process can take over from this one."""

    error: str


class HandoverFailed(LogEvent, tag="handover-failed", frozen=True, kw_only=True):
    """The handover channel was closed after an invalid message or an internal error."""

    error: str


class OverrideApplied(LogEvent, tag="override-applied", frozen=True, kw_only=True):
    """An administrative call that sets or removes an override was carried out."""

    call: str
    name: str  # of the executor; empty if the call names none


class OverrideLoadFailed(LogEvent, tag="override-load-failed", frozen=True, kw_only=True):
    """The overrides file is invalid; no override is in force."""

    path: str
    error: str


class OverrideSaveFailed(LogEvent, tag="override-save-failed", frozen=True, kw_only=True):
    """The overrides file could not be written."""

    path: str
    error: str


class AdminConnectionFailed(LogEvent, tag="admin-connection-failed", frozen=True, kw_only=True):
    """An internal error occurred in an administrative call."""

    error: str


class DeferredQueueFull(LogEvent, tag="deferred-full", frozen=True, kw_only=True):
    """A job could not be deferred, because a limit of the deferred-job queue was reached."""

    jobs: int  # in the queue, without this one
    bytes: int  # size of these jobs


class DeferralsEnded(LogEvent, tag="deferred-ended", frozen=True, kw_only=True):
    """All deferrals were ended because the node drains or shuts down."""

    jobs: int


class DeferredQueueFailed(LogEvent, tag="deferred-failed", frozen=True, kw_only=True):
    """An internal error occurred in the deferred-job queue; no more jobs are deferred."""

    error: str
