"""Administrative overrides of single endpoints, applied to discovery's list."""

from __future__ import annotations

import msgspec

from burlmoor.types.endpoint_list import EndpointState


class EndpointOverrides(msgspec.Struct):
    """The administrative overrides of endpoints, by name; times are Unix times in ms.

    Stored in the overrides file and handed over to the next process: the encoded names must not change.
    """

    # Disabled endpoints, which get no new work, and since when.
    disabled_since: dict[str, float] = msgspec.field(name="out", default={})
    # Endpoints that were enabled again, and when they count as started.
    enabled_since: dict[str, float] = msgspec.field(name="started", default={})

    def names(self) -> set[str]:
        """Return the names of all endpoints with an override."""
        return {*self.disabled_since, *self.enabled_since}

    def is_disabled(self, name: str) -> bool:
        """Whether the endpoint gets no new work."""
        return name in self.disabled_since

    def disable(self, name: str, now_unix_ms: float) -> bool:
        """Disable an endpoint; return False, without a change, if it is disabled already."""
        if name in self.disabled_since:
            return False
        self.disabled_since[name] = now_unix_ms
        self.enabled_since.pop(name, None)
        return True

    def enable(self, name: str, listed_start_unix_ms: float | None, now_unix_ms: float) -> bool:
        """Enable an endpoint again, whose listed start is `listed_start_unix_ms` (None: it is not listed).

        Returns False, without a change, if it is not disabled.
        """
        disabled_since = self.disabled_since.pop(name, None)
        if disabled_since is None:
            return False
        if listed_start_unix_ms is None or listed_start_unix_ms < disabled_since:
            # Without this, a process that was restarted while it was disabled would get no slow start: the
            # list has its new start only later.
            self.enabled_since[name] = now_unix_ms
        return True

    def effective_state(self, name: str, state: EndpointState) -> EndpointState:
        """Return the state that holds for the policy, given the state in the list."""
        if state is EndpointState.LIVE and self.is_disabled(name):
            return EndpointState.DRAINING
        return state

    def effective_start(self, name: str, listed_start_unix_ms: float) -> float:
        """Return the start from which slow start counts, given the start in the list."""
        return max(listed_start_unix_ms, self.enabled_since.get(name, 0.0))
