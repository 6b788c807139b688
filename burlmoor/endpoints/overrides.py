"""Administrative overrides, which disable or re-enable single endpoints of the discovered list."""

from __future__ import annotations

import msgspec

from burlmoor.types.endpoint_list import EndpointState


class EndpointOverrides(msgspec.Struct):
    """The administrative overrides of endpoints, by name; times are Unix times in ms.

    Stored in the overrides file and handed over to the next process, so the encoded names must not change.
    """

    # The disabled endpoints, which get no new work, and when each was disabled.
    disabled_since: dict[str, float] = msgspec.field(name="out", default={})
    # The endpoints that may have restarted while disabled, and when each was enabled: slow start begins then.
    enabled_since: dict[str, float] = msgspec.field(name="started", default={})

    def names(self) -> set[str]:
        """Return the names of all endpoints with an override."""
        return {*self.disabled_since, *self.enabled_since}

    def is_disabled(self, name: str) -> bool:
        """Return whether the endpoint is disabled, so that it gets no new work."""
        return name in self.disabled_since

    def disable(self, name: str, now_unix_ms: float) -> bool:
        """Disable an endpoint; return False, without a change, if it is already disabled."""
        if name in self.disabled_since:
            return False
        self.disabled_since[name] = now_unix_ms
        self.enabled_since.pop(name, None)
        return True

    def enable(self, name: str, listed_start_unix_ms: float | None, now_unix_ms: float) -> bool:
        """Enable an endpoint again; `listed_start_unix_ms` is its start in the list (None: not listed).

        Returns False, without a change, if it is not disabled.
        """
        disabled_since = self.disabled_since.pop(name, None)
        if disabled_since is None:
            return False
        if listed_start_unix_ms is None or listed_start_unix_ms < disabled_since:
            # The process may have been restarted while it was disabled. The list shows its new start only
            # later, so without this it would get no slow start.
            self.enabled_since[name] = now_unix_ms
        return True

    def effective_state(self, name: str, state: EndpointState) -> EndpointState:
        """Return the state to report to the policy, given the state in the list."""
        if state is EndpointState.LIVE and self.is_disabled(name):
            return EndpointState.DRAINING
        return state

    def effective_start(self, name: str, listed_start_unix_ms: float) -> float:
        """Return the Unix time in ms at which slow start begins, given the start in the list."""
        return max(listed_start_unix_ms, self.enabled_since.get(name, 0.0))
