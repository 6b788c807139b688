"""A pushed endpoint list under a fake clock: when a node may use it, whatever its agent does."""

from __future__ import annotations

import enum
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, cast

import msgspec
import trio

from burlmoor.discovery.client import DiscoveryClient
from burlmoor.discovery.list_lease import FIRST_CONTACT_SECONDS, ListLease
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.endpoints.list_updater import EndpointListUpdater
from burlmoor.upstream.http import Response
from tests.discovery.watch_simulation import new_schedule

if TYPE_CHECKING:
    from burlmoor.types.endpoint_list import EndpointEntry, ListKind

AGENT = "127.0.0.1:1"
FULL_LIST = b'{"seq":41,"whole":true,"hosts":[{"host":"e0","dial":"127.0.0.1:9","health":"active"}]}'
NO_CHANGES = b'{"seq":41,"whole":false,"hosts":[]}'


class Reaction(enum.Enum):
    """What an agent does with a call."""

    ANSWER = enum.auto()  # with the list as the node knows it
    SILENCE = enum.auto()


class PushedList:
    """The list of a node and the client that watches it; stands in for the connections to its agents."""

    def __init__(self) -> None:
        self.reactions = {AGENT: Reaction.ANSWER}
        lease = ListLease(has_agent=True)
        self.directory = EndpointDirectory(
            from_unix=lambda unix_ms: unix_ms, has_lease=lambda: lease.is_valid(trio.current_time())
        )
        updater = EndpointListUpdater(self.directory, self, self, self, self.discard)
        updater.load_cached(msgspec.json.decode(FULL_LIST, type=DiscoveredList))
        schedule = new_schedule(3, has_agent=True)
        self.client = DiscoveryClient(
            self.directory, updater, cast("Any", self), AGENT, schedule, lease, self.discard
        )

    def is_used(self) -> bool:
        """Return whether jobs may be sent by the list now."""
        return self.directory.find_live("e0") is not None

    async def call(self, address: str, _method: bytes, path: bytes) -> Response:
        """React as the agent at this address does."""
        if self.reactions[address] is Reaction.SILENCE:
            await trio.sleep_forever()
        wait_ms = path.partition(b"wait_ms=")[2]
        if not wait_ms:
            return Response(HTTPStatus.OK, {}, FULL_LIST)
        await trio.sleep(float(wait_ms) / 1000.0)
        return Response(HTTPStatus.OK, {}, NO_CHANGES)

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
        pushed = PushedList()
        pushed.reactions[AGENT] = Reaction.SILENCE
        nursery.start_soon(pushed.client.run)
        await trio.sleep(FIRST_CONTACT_SECONDS + 1.0)
        assert not pushed.is_used()
        pushed.client.fetch()  # so that the answer does not wait for a change
        pushed.reactions[AGENT] = Reaction.ANSWER
        await trio.sleep(0.5)
        assert pushed.is_used()
