"""A bounded ring buffer: the bytes of one direction of one connection."""

from __future__ import annotations

_FIRST = 4096


class RingBuffer:
    """Owns the bytes that wait in one direction, at most `limit` of them.

    Its memory grows by doubling and is given back once the ring is empty, since hundreds of
    connections are idle at any time.
    """

    __slots__ = ("_data", "_head", "_size", "limit")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._data = bytearray()
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def free_space(self) -> int:
        """How many more bytes it takes."""
        return self.limit - self._size

    def write(self, data: bytes) -> None:
        """Append all of `data`; it must fit into `room`."""
        if len(data) > self.free_space:
            raise BufferError(f"{len(data)} bytes do not fit into {self.free_space}")
        if self._size + len(data) > len(self._data):
            self._grow(self._size + len(data))
        tail = (self._head + self._size) % len(self._data) if self._data else 0
        first = len(self._data) - tail
        if len(data) <= first:
            self._data[tail : tail + len(data)] = data
        else:
            self._data[tail:] = data[:first]
            self._data[: len(data) - first] = data[first:]
        self._size += len(data)

    def peek(self) -> memoryview:
        """The longest run of waiting bytes that lies in one piece."""
        return memoryview(self._data)[self._head : min(self._head + self._size, len(self._data))]

    def drop(self, count: int) -> None:
        """Forget the first `count` waiting bytes."""
        if not 0 <= count <= self._size:
            raise BufferError(f"{count} of {self._size} bytes")
        self._size -= count
        if self._size:
            self._head = (self._head + count) % len(self._data)
        else:
            self._head = 0
            if len(self._data) > _FIRST:
                self._data = bytearray()

    def take(self) -> bytes:
        """All waiting bytes; the ring is empty afterwards."""
        data = bytes(self.peek())
        if len(data) < self._size:
            data += bytes(self._data[: self._size - len(data)])
        self.drop(self._size)
        return data

    def _grow(self, needed: int) -> None:
        size = max(_FIRST, len(self._data))
        while size < needed:
            size *= 2
        waiting = self.take()
        self._data = bytearray(min(size, self.limit))
        self._data[: len(waiting)] = waiting
        self._head, self._size = 0, len(waiting)
