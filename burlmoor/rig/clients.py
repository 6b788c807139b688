"""Stand-in clients of one node: connections that are kept, one request on each at a time, answers counted."""

from __future__ import annotations

import json
from contextlib import suppress

import trio

from burlmoor.rig.executor import now
from burlmoor.rig.ledger import Asked, Ledger
from burlmoor.rig.wire import Message, Wire, connect

_SLACK = 1.0  # seconds beyond its own time for which a client still listens, so that lateness is seen


class Clients:
    """Owns the connections to one node, the freshest idle one last."""

    def __init__(self, address: tuple[str, int], ledger: Ledger) -> None:
        self.address, self._ledger = address, ledger
        self._idle: list[Wire] = []

    async def ask(
        self, asked: Asked, slots: int = 1, key: str = "k", fails: bool = False, tenant: str = ""
    ) -> Asked:
        """Submit one job and wait for its answer; the ledger's row, filled in."""
        self._ledger.asked[asked.id] = asked
        head: dict[str, str] = {
            "Host": "svc", "Request_Id": asked.id, "Request_Timeout_Ms": str(int(asked.patience)),
            "Work_Hint": str(int(asked.work * 1000.0)), "Request_Info": f"slots={slots}",
        }  # fmt: skip
        if tenant:
            head["Tenant"] = tenant
        if asked.after:
            head["Run_After"] = ", ".join(asked.after)
        if asked.not_before:
            head["Not_Before"] = str(int(asked.not_before))
        body = json.dumps({"work": asked.work, "slots": slots, "fails": fails}).encode()
        until = asked.sent + asked.patience
        wire: Wire | None = None
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            try:
                with trio.move_on_after((until - now()) / 1000.0 + _SLACK):
                    answer = None
                    for fresh in (False, True):
                        wire = self._idle.pop() if self._idle and not fresh else await connect(self.address)
                        answer = await self._exchange(wire, asked, key, head, body)
                        if answer is not None or fresh:
                            break
                        # A node may close a kept connection just as a request crosses: sent once more.
                        wire.stream.socket.close()
                    if answer is not None:
                        self._note(asked, answer)
                        if answer.headers.get("connection") != "close":
                            self._idle.append(wire)  # type: ignore[arg-type]
                            wire = None
            finally:
                if wire is not None:
                    wire.stream.socket.close()
        return asked

    async def _exchange(
        self, wire: Wire, asked: Asked, key: str, head: dict[str, str], body: bytes
    ) -> Message | None:
        try:
            await wire.write(f"POST /{asked.job_class}/{key} HTTP/1.1", body, **head)
            if asked.left is None:
                return await wire.read()
            with trio.move_on_after(max(0.0, (asked.left - now()) / 1000.0)):
                return await wire.read()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        raise trio.ClosedResourceError  # this client goes away

    def _note(self, asked: Asked, answer: Message) -> None:
        asked.answered, asked.status, asked.body = now(), answer.status, answer.body
        asked.answers += 1
        with suppress(ValueError):
            asked.retry_after = float(answer.headers.get("retry-after", "0")) * 1000.0

    def close(self) -> None:
        """End what lies idle."""
        for wire in self._idle:
            wire.stream.socket.close()
        self._idle.clear()
