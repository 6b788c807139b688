"""How far this node sends its clients away: one state that a stop and an operators' drain share."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import trio


class ServiceState(IntEnum):
    """Each state does all that the ones before it do."""

    ACCEPTING = 0
    UNREADY = 1  # whoever asks is told that this node takes no clients; those who are here go on as before
    CLOSING = 2  # answers close their connections, and idle ones end
    REJECTING = 3  # new jobs are refused


Steps = tuple[tuple[float, ServiceState], ...]

# Seconds after SIGTERM until SIGKILL may come: the longest deadline, this at most, and a part that is fixed.
_LONGEST_COUNTED, _KILL_AFTER = 3.0, 0.7
_COMING = 0.4  # seconds after SIGTERM for which clients' new connections may come
# Seconds after a drain is asked for. Those who send clients have heard of it after 0.3 s. What is taken after
# 2 s would be a young job 4 s after the call, when none may be here.
_DRAIN: Steps = ((2.0, ServiceState.REJECTING), (0.8, ServiceState.CLOSING), (0.0, ServiceState.UNREADY))


def _step(since: float | None, steps: Steps, now: float) -> ServiceState:
    if since is None:
        return ServiceState.ACCEPTING
    return next((state for after, state in steps if now >= since + after), ServiceState.ACCEPTING)


def kill_after_seconds(deadlines: Iterable[float]) -> float:
    """Seconds after SIGTERM until SIGKILL may come, where jobs have these deadlines (s)."""
    return min(max(deadlines, default=_LONGEST_COUNTED), _LONGEST_COUNTED) + _KILL_AFTER


def _stop(killed: float) -> Steps:
    """The steps of a stop, each as late as a SIGKILL then allows.

    Guards against a gap in service: the node restarted before may not be back yet. Clients go on for as long
    as their connections stay open, and may take 2 s to write what they ask.
    """
    closing = max(_COMING, killed - 1.7)
    return (
        (closing + 0.5, ServiceState.REJECTING),
        (closing, ServiceState.CLOSING),
        (0.0, ServiceState.UNREADY),
    )


class DrainController:
    """Owns when a stop and a drain began; the state follows from the time that has passed.

    No task moves it, so a drain can be ended, or met by a stop, at any point with nothing left half done.
    """

    def __init__(self, killed: float = _LONGEST_COUNTED + _KILL_AFTER) -> None:
        self._stop = _stop(killed)
        # What came late in a stop is answered by then (seconds after SIGTERM): SIGKILL would lose it.
        self.answer_within_seconds = max(killed - 0.4, 0.8 * killed)
        self._stopped: float | None = None
        self._drained: float | None = None

    @property
    def state(self) -> ServiceState:
        """How far clients are sent away by now."""
        now = trio.current_time()
        return max(_step(self._stopped, self._stop, now), _step(self._drained, _DRAIN, now))

    @property
    def is_shutting_down(self) -> bool:
        """Whether the node has been told to end."""
        return self._stopped is not None

    @property
    def is_drained(self) -> bool:
        """Whether operators have sent the clients away."""
        return self._drained is not None

    def begin_shutdown(self) -> None:
        """Begin to stop; told again, it changes nothing."""
        self._stopped = trio.current_time() if self._stopped is None else self._stopped

    def begin_drain(self) -> None:
        """Begin to drain; told again, it changes nothing."""
        self._drained = trio.current_time() if self._drained is None else self._drained

    def end_drain(self) -> None:
        """End a drain: clients are taken again from now on, unless the node stops."""
        self._drained = None
