"""The TCP relays between nodes and executors: bytes pass as the troubles of the moment let them.

In a process of its own, `python -m burlmoor.testbed.fleet.tcp_relay`, told by a line of JSON on standard
input, then by a line of effects at each change; it ends with its input. Several such processes share
the ports.
What a relay cannot do is refuse a connect on a cut link: it is accepted, and then nothing comes, as with a
peer whose machine has vanished after the handshake.
"""

from __future__ import annotations

import random
import socket
import sys
from contextlib import suppress

import msgspec
import trio

from burlmoor.testbed.fleet.addresses import Ports, ends, link, local
from burlmoor.testbed.fleet.addresses import executor as executor_at
from burlmoor.testbed.fleet.addresses import node as node_at
from burlmoor.testbed.fleet.faults import Effect
from burlmoor.testbed.fleet.notifications import lines, play
from burlmoor.testbed.http_stream import HttpStream, connect

_CHUNK = 65_536
_AGAIN = 0.2  # seconds after which what was dropped is sent again, as TCP would


class Plan(msgspec.Struct):
    """Where to listen."""

    ports: Ports
    seed: int


class Relays:
    """Owns the listeners, the connections through them, and the effects of the moment."""

    def __init__(self, plan: Plan, nursery: trio.Nursery) -> None:
        self._ports, self._nursery = plan.ports, nursery
        self._rng = random.Random(plan.seed)
        self._effects: list[Effect] = []
        self._changed = trio.Event()

    def take_up(self, effects: list[Effect]) -> None:
        """These are what is wrong from now on."""
        self._effects = effects
        self._changed.set()
        self._changed = trio.Event()

    async def open(self) -> None:
        """Listen on every link's address, both ways."""
        for port, forward in ((self._ports.forwards, True), (self._ports.backwards, False)):
            sock = trio.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            local(sock)  # type: ignore[arg-type]
            await sock.bind(("0.0.0.0", port))
            sock.listen(4096)
            self._nursery.start_soon(self._accept, trio.SocketListener(sock), forward)

    async def _accept(self, listener: trio.SocketListener, forward: bool) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError:
                await trio.sleep(0.02)
                continue
            self._nursery.start_soon(self._pass, stream, forward)

    async def _pass(self, near: trio.SocketStream, forward: bool) -> None:
        far: trio.SocketStream | None = None
        try:
            address = near.socket.getsockname()[0]
            node, executor = ends(address)
            await self._until_open(node, executor, forward)
            to = (
                (executor_at(executor), self._ports.jobs) if forward else (node_at(node), self._ports.clients)
            )
            # From the link's own address, so that the executor knows who calls.
            far = (await connect(to, link(node, executor) if forward else "")).socket_stream
            async with trio.open_nursery() as both:
                both.start_soon(self._pump, near, far, (node, executor, forward), both.cancel_scope)
                both.start_soon(self._pump, far, near, (node, executor, not forward), both.cancel_scope)
        except (OSError, ValueError, trio.BrokenResourceError, trio.ClosedResourceError):
            HttpStream(near).reset()
            if far is not None:
                HttpStream(far).reset()
        finally:
            for stream in (near, far):
                if stream is not None:
                    with suppress(OSError, trio.BrokenResourceError):
                        stream.socket.close()

    async def _until_open(self, node: int, executor: int, forward: bool) -> None:
        while any(e.what in ("cut", "stall") and e.meets(node, executor, forward) for e in self._effects):
            await self._changed.wait()

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        way: tuple[int, int, bool],
        both: trio.CancelScope,
    ) -> None:
        # Bytes of one direction stay in order whatever befalls them: it is a TCP connection.
        while True:
            try:
                data = await source.receive_some(_CHUNK)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                HttpStream(sink).reset()
                both.cancel()
                return
            if self._effects:
                data = await self._befalls(data, way)
            if not data:
                with suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                    await sink.send_eof()
                return
            try:
                await sink.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                HttpStream(source).reset()
                both.cancel()
                return

    async def _befalls(self, data: bytes, way: tuple[int, int, bool]) -> bytes:
        for effect in [each for each in self._effects if each.meets(*way)]:
            if effect.what == "delay":
                await trio.sleep(effect.size * self._rng.uniform(0.8, 1.2) / 1000.0)
            elif effect.what == "drop" and self._rng.random() < effect.size:
                await trio.sleep(_AGAIN)
            elif effect.what == "throttle":
                await trio.sleep(len(data) / max(1.0, effect.size))
            elif effect.what == "reset" and self._rng.random() < effect.size:
                raise trio.BrokenResourceError("as the schedule says")
            elif effect.what == "corrupt" and data and self._rng.random() < effect.size:
                at = self._rng.randrange(len(data))
                data = data[:at] + bytes([data[at] ^ 0x20]) + data[at + 1 :]
        await self._until_open(*way)
        return data


async def serve(plan: Plan) -> None:
    """Relay until the input ends."""
    async with trio.open_nursery() as nursery:
        relays = Relays(plan, nursery)
        await relays.open()
        print("{}", flush=True)
        async for line in lines():
            relays.take_up(msgspec.json.decode(line, type=list[Effect]))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(play(serve, Plan))
