"""A stand-in discovery service with one versioned list of executors, served whole or by watches."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from standins.http import Message, Server, encode_response

if TYPE_CHECKING:
    from standins.record import Record

_HOST = "127.0.0.1"
_FIRST_VERSION = 41
_MAX_WAIT_SECONDS = 60.0
_NEW_ENTRY = {"site": "sur", "class": "type-a", "block": 1, "health": "active", "share": 1.0, "born_ms": 0}


class Discovery:
    """Answers calls at once and holds watches open, as the protocol page says.

    Where lists are pushed, it is the agent on the node's machine: what it has counts as told. `is_silent` is
    whether discovery is down: then the agent answers nothing, on open connections and new ones.
    """

    def __init__(self, record: Record) -> None:
        self.is_silent = False
        self._record = record
        self._server = Server(_HOST, self._respond)
        self._version = _FIRST_VERSION
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()

    @property
    def address(self) -> tuple[str, int]:
        """Where nodes connect."""
        return self._server.address

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def set_entry(self, host: str, **fields: str | float) -> None:
        """Add an executor or change its entry, and tell the open watches."""
        self._entries[host] = {"host": host, **self._entries.get(host, _NEW_ENTRY), **fields}
        self._version += 1
        self._changed_at[host] = self._version
        self._record.write(f"discovery: version {self._version}: {json.dumps(self._entries[host])}")
        self._changed.set()
        self._changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self._version, "whole": True, "hosts": list(self._entries.values())}

    async def _respond(self, request: Message) -> bytes | None:
        response = await self._answer(request)
        return None if self.is_silent else response

    async def _answer(self, request: Message) -> bytes:
        query = parse_qs(urlsplit(request.target).query)
        if "after" not in query:
            return _encode_list(self.whole_list())
        after = int(query["after"][0])
        wait_seconds = min(_MAX_WAIT_SECONDS, int(query["wait_ms"][0]) / 1000.0)
        if self._version <= after:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_seconds)
        changed = [entry for host, entry in self._entries.items() if self._changed_at[host] > after]
        return _encode_list({"seq": self._version, "whole": False, "hosts": changed})


def _encode_list(message: dict[str, Any]) -> bytes:
    return encode_response(HTTPStatus.OK, json.dumps(message).encode(), "Content-Type: application/json")
