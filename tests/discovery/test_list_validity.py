"""When a node may use its endpoint list, under a fake clock and whatever discovery or its agent does."""

from __future__ import annotations

import enum
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, cast

import msgspec
import pytest
import trio

from burlmoor.discovery.client import DiscoveryClient
from burlmoor.discovery.list_lease import FIRST_CONTACT_SECONDS
from burlmoor.discovery.polled_list_lease import PolledListLease
from burlmoor.discovery.pushed_list_lease import PushedListLease
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.endpoints.list_updater import EndpointListUpdater
from burlmoor.upstream.errors import ConnectionEndedError
from burlmoor.upstream.http import Response
from tests.discovery.watch_simulation import new_schedule

if TYPE_CHECKING:
    from burlmoor.types.endpoint_list import EndpointEntry, ListKind

ADDRESS, OTHER_ADDRESS = "127.0.0.1:1", "127.0.0.1:2"
FULL_LIST = b'{"seq":41,"whole":true,"hosts":[{"host":"e0","dial":"127.0.0.1:9","health":"active"}]}'
NO_CHANGES = b'{"seq":41,"whole":false,"hosts":[]}'
WATCH_SECONDS = 1.0  # from a watch to its answer, if nothing changes
ADDRESS_CHANGE_SECONDS = 4.0  # until the node counts as notified of the changes at the other address
DRAIN_GRACE_SECONDS = 0.25 + 0.05  # after the notification; the protocol adds 50 ms to each time limit
MARGIN_SECONDS = 0.1


class Reaction(enum.Enum):
    """What discovery, or its agent, does with a call."""

    ANSWER = enum.auto()  # with the list as the node knows it
    SILENCE = enum.auto()
    RESET = enum.auto()
    REJECTION = enum.auto()
    INVALID_LIST = enum.auto()


class WatchedList:
    """The list of a node and the client that watches it; stands in for the connections to discovery.

    `has_agent` is whether lists are pushed, so that the calls go to an agent.
    """

    def __init__(self, *, has_agent: bool) -> None:
        self.reactions = {ADDRESS: Reaction.ANSWER, OTHER_ADDRESS: Reaction.SILENCE}
        self.was_reset = trio.Event()
        self.next_address: str | None = None  # which SIGHUP names while the next response is being read
        lease = PushedListLease() if has_agent else PolledListLease()
        self.directory = EndpointDirectory(
            from_unix=lambda unix_ms: unix_ms, has_lease=lambda: lease.is_valid(trio.current_time())
        )
        updater = EndpointListUpdater(self.directory, self, self, self, self.discard)
        updater.load_cached(msgspec.json.decode(FULL_LIST, type=DiscoveredList))
        schedule = new_schedule(3, has_agent=has_agent)
        self.client = DiscoveryClient(
            self.directory, updater, cast("Any", self), ADDRESS, schedule, lease, self.discard
        )

    def is_in_use(self) -> bool:
        """Return whether jobs may be sent by the list now."""
        return self.directory.find_live("e0") is not None

    async def call(self, address: str, _method: bytes, path: bytes) -> Response:
        """React as discovery at this address does."""
        wait_ms = path.partition(b"wait_ms=")[2]
        if self.reactions[address] is not Reaction.SILENCE:
            await trio.sleep(float(wait_ms or 0.0) / 1000.0)
        if self.next_address is not None:
            self.client.set_address(self.next_address)
            self.next_address = None
        match self.reactions[address]:
            case Reaction.SILENCE:
                await trio.sleep_forever()
            case Reaction.RESET:
                self.was_reset.set()
                raise ConnectionEndedError
            case Reaction.REJECTION:
                return Response(HTTPStatus.SERVICE_UNAVAILABLE, {}, b"")
            case Reaction.INVALID_LIST:
                return Response(HTTPStatus.OK, {}, b"{}")
        return Response(HTTPStatus.OK, {}, NO_CHANGES if wait_ms else FULL_LIST)

    def close_idle_to(self, address: str) -> None: ...

    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None: ...

    def on_endpoints_not_live(self, names: frozenset[str]) -> None: ...

    def discard(self, *_: object) -> None: ...


async def test_a_list_whose_lease_an_answer_has_just_renewed_is_not_suspended(
    nursery: trio.Nursery, autojump_clock: trio.abc.Clock
) -> None:
    # Guards against a list that is unusable although its agent has answered: the answer came at the moment at
    # which the expired lease was handled. Tasks that are due at the same time run in random order.
    for _ in range(10):
        watched = WatchedList(has_agent=True)
        watched.reactions[ADDRESS] = Reaction.SILENCE
        nursery.start_soon(watched.client.run)
        await trio.sleep(FIRST_CONTACT_SECONDS + 1.0)
        assert not watched.is_in_use()
        watched.client.fetch()  # so that the answer does not wait for a change
        watched.reactions[ADDRESS] = Reaction.ANSWER
        await trio.sleep(0.5)
        assert watched.is_in_use()


@pytest.mark.parametrize("reaction", [each for each in Reaction if each is not Reaction.ANSWER])
async def test_a_pushed_list_is_suspended_unless_the_agent_at_a_new_address_answers_in_time(
    reaction: Reaction, nursery: trio.Nursery, autojump_clock: trio.abc.Clock
) -> None:
    # Guards against jobs sent without end by the list of an agent that SIGHUP has replaced.
    watched = WatchedList(has_agent=True)
    nursery.start_soon(watched.client.run)
    await trio.sleep(30.0)
    watched.reactions[OTHER_ADDRESS] = reaction
    watched.client.set_address(OTHER_ADDRESS)
    await trio.sleep(ADDRESS_CHANGE_SECONDS - MARGIN_SECONDS)
    assert watched.is_in_use()
    await trio.sleep(2 * MARGIN_SECONDS)
    assert not watched.is_in_use()
    watched.reactions[OTHER_ADDRESS] = Reaction.ANSWER
    await trio.sleep(1.0)
    assert watched.is_in_use()
    watched.reactions[OTHER_ADDRESS] = Reaction.SILENCE  # discovery is down, so the list does not change
    await trio.sleep(60.0)
    assert watched.is_in_use()


@pytest.mark.parametrize("has_agent", [False, True])
@pytest.mark.parametrize("reaction", [Reaction.ANSWER, Reaction.REJECTION, Reaction.RESET])
async def test_a_response_from_an_earlier_address_does_not_renew_the_lease(
    reaction: Reaction, nursery: trio.Nursery, autojump_clock: trio.abc.Clock, *, has_agent: bool
) -> None:
    # Guards against jobs sent by the list of an earlier address, whose response is read together with SIGHUP.
    watched = WatchedList(has_agent=has_agent)
    nursery.start_soon(watched.client.run)
    await trio.sleep(30.5)
    watched.reactions[ADDRESS] = reaction
    watched.next_address = OTHER_ADDRESS
    await trio.sleep(WATCH_SECONDS + ADDRESS_CHANGE_SECONDS + MARGIN_SECONDS)
    assert watched.next_address is None
    assert not watched.is_in_use()


async def test_a_pushed_list_is_suspended_in_time_if_its_agent_falls_silent_after_a_reset(
    nursery: trio.Nursery, autojump_clock: trio.abc.Clock
) -> None:
    # Guards against jobs sent by a list without the drains that the agent received just before its silence.
    watched = WatchedList(has_agent=True)
    nursery.start_soon(watched.client.run)
    await trio.sleep(30.0)
    watched.reactions[ADDRESS] = Reaction.RESET
    await watched.was_reset.wait()
    watched.reactions[ADDRESS] = Reaction.SILENCE
    await trio.sleep(DRAIN_GRACE_SECONDS)
    assert not watched.is_in_use()
    await trio.sleep(60.0)
    assert not watched.is_in_use()
    watched.reactions[ADDRESS] = Reaction.ANSWER
    await trio.sleep(0.5)
    assert watched.is_in_use()
