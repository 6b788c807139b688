"""The kinds of faults, grouped by what they affect."""

from __future__ import annotations

from enum import StrEnum

from burlmoor.errors import BurlmoorError


class FaultKind(StrEnum):
    """The kind of a fault; the values are used in stored schedules and records."""

    # Links. Duplication and reordering apply to datagrams only, resets and throttling to connections only.
    LINK_PARTITION = "cut"
    LINK_DELAY = "delay"
    LINK_LOSS = "drop"
    LINK_RESET = "reset"
    LINK_STALL = "stall"
    LINK_THROTTLE = "throttle"
    LINK_CORRUPTION = "corrupt"
    LINK_DUPLICATION = "repeat"
    LINK_REORDERING = "reorder"
    # Node processes.
    NODE_KILL = "kill"
    NODE_PAUSE = "stop"
    NODE_TERMINATION = "term"
    NODE_RESTART = "restart"  # SIGTERM, `magnitude` more signals, then SIGKILL as early as the platform may
    NODE_RELOAD = "reload"  # SIGHUP, `magnitude` times in a row
    CONNECTION_FLOOD = "crowd"  # `magnitude` idle clients
    INPUT_FLOOD = "flood"  # a client with `magnitude` connections that writes without pause; excuses nothing
    # `magnitude` clients that each send a job on their open connection from time to time.
    PERSISTENT_CLIENTS = "clients"
    # Stopped repeatedly, for `magnitude` ms at most; excuses nothing.
    NODE_STALLS = "stalls"
    # Executors.
    EXECUTOR_KILL = "die"
    EXECUTOR_DRAIN = "drain"
    EXECUTOR_HANG = "still"
    EXECUTOR_SLOWDOWN = "slow"
    EXECUTOR_ERRORS = "fail"
    # The executor stays up; discovery announces it as gone, and later as back.
    EXECUTOR_PARTITION = "vanish"
    # Discovery, and each node's connection to it.
    DISCOVERY_DELAY = "late"
    DISCOVERY_OUTAGE = "down"
    DISCOVERY_OVERLOAD = "crowded"  # calls are queued until they fail
    WATCH_STALL = "silent"
    WATCH_RESET = "broken"
    # Cut off from discovery and all executors, while clients still reach the node.
    NODE_ISOLATION = "isolate"
    # SIGKILL at the end of a restart. Occurs in records only, never in schedules.
    RESTART_KILL = "sigkill"


LINK_FAULTS = (
    FaultKind.LINK_PARTITION,
    FaultKind.LINK_DELAY,
    FaultKind.LINK_LOSS,
    FaultKind.LINK_RESET,
    FaultKind.LINK_STALL,
    FaultKind.LINK_THROTTLE,
    FaultKind.LINK_CORRUPTION,
    FaultKind.LINK_DUPLICATION,
    FaultKind.LINK_REORDERING,
)
NODE_FAULTS = (
    FaultKind.NODE_KILL,
    FaultKind.NODE_PAUSE,
    FaultKind.NODE_TERMINATION,
    FaultKind.NODE_RESTART,
    FaultKind.NODE_RELOAD,
    FaultKind.CONNECTION_FLOOD,
    FaultKind.PERSISTENT_CLIENTS,
    FaultKind.NODE_STALLS,
    FaultKind.INPUT_FLOOD,
)
EXECUTOR_FAULTS = (
    FaultKind.EXECUTOR_KILL,
    FaultKind.EXECUTOR_DRAIN,
    FaultKind.EXECUTOR_HANG,
    FaultKind.EXECUTOR_SLOWDOWN,
    FaultKind.EXECUTOR_ERRORS,
    FaultKind.EXECUTOR_PARTITION,
)
DISCOVERY_FAULTS = (
    FaultKind.DISCOVERY_DELAY,
    FaultKind.DISCOVERY_OUTAGE,
    FaultKind.DISCOVERY_OVERLOAD,
    FaultKind.WATCH_STALL,
    FaultKind.WATCH_RESET,
    FaultKind.NODE_ISOLATION,
)
# Faults of executors and discovery that cut links as well.
PARTITION_FAULTS = (FaultKind.EXECUTOR_PARTITION, FaultKind.NODE_ISOLATION)
SCHEDULED_FAULTS = (*LINK_FAULTS, *NODE_FAULTS, *EXECUTOR_FAULTS, *DISCOVERY_FAULTS)


class UnsupportedFaultError(BurlmoorError, ValueError):
    """Raised when an injector does not handle a kind of fault."""

    def __init__(self, kind: FaultKind) -> None:
        super().__init__(f"unsupported fault kind: {kind}")
        self.kind = kind
