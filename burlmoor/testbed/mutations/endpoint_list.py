"""Mutations of how a node watches and uses the endpoint list."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.testbed.mutations.mutation import Mutation, mutations_by_name, replace_attributes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burlmoor.discovery.list_lease import ListLease
    from burlmoor.endpoints.directory import EndpointDirectory


def _remove_list_lease() -> None:
    """Make the endpoint list valid forever; otherwise the end of its lease would hide faults of the watch."""
    from burlmoor.discovery.list_lease import ListLease  # noqa: PLC0415

    replace_attributes(ListLease, is_valid=lambda _self, _now: True, expires_at=lambda _self: math.inf)


def _time_out_watches_late() -> None:
    from burlmoor.discovery import schedule  # noqa: PLC0415

    replace_attributes(
        schedule, _WATCH_WAIT_SECONDS=8.0, _OVERDUE_ALLOWANCE_SECONDS=4.0, _QUEUE_TIMEOUT_SECONDS=4.0
    )
    _remove_list_lease()


def _retry_calls_late() -> None:
    from burlmoor.discovery import schedule  # noqa: PLC0415

    replace_attributes(
        schedule, NOTIFICATION_SECONDS=12.0, _CALL_COST_SECONDS=100.0, _MIN_JITTER_FRACTION=0.8
    )
    _remove_list_lease()


def _ignore_drains() -> None:
    from burlmoor.endpoints.directory import EndpointDirectory  # noqa: PLC0415
    from burlmoor.types.endpoint_list import EndpointState  # noqa: PLC0415

    def find_listed(self: EndpointDirectory, name: str) -> object:
        return self.table.get(name)

    replace_attributes(
        EndpointDirectory, _effective_state=lambda _self, _entry: EndpointState.LIVE, find_live=find_listed
    )


def _use_unconfirmed_list() -> None:
    from burlmoor.discovery.list_lease import ListLease  # noqa: PLC0415

    _remove_list_lease()
    init = ListLease.__init__

    def init_confirmed(self: ListLease) -> None:
        init(self)
        self.is_confirmed = True

    replace_attributes(ListLease, __init__=init_confirmed)


UNDRAINED = Mutation("undrained", "A draining endpoint still gets jobs.", _ignore_drains)
OLD_LIST = Mutation(
    "old-list",
    "A node uses an endpoint list that is too old or not confirmed since the node started.",
    _use_unconfirmed_list,
)
WATCH_MUTATIONS: Mapping[str, Mutation] = mutations_by_name(
    Mutation(
        "late-watch",
        "A silent watch times out some seconds after the notification deadline of changes that it missed.",
        _time_out_watches_late,
    ),
    Mutation(
        "slow-again",
        "A failed call is retried some seconds after the notification deadline of changes that it missed.",
        _retry_calls_late,
    ),
    UNDRAINED,
)
