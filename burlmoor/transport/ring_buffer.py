"""A bounded ring buffer: the bytes of one direction of one connection."""

from __future__ import annotations

from burlmoor.errors import BurlmoorError

_MIN_CAPACITY_BYTES = 4096


class BufferFullError(BurlmoorError, BufferError):
    """`size` bytes were to be written where the buffer has space for `free_space`."""

    def __init__(self, size: int, free_space: int) -> None:
        super().__init__(f"{size} bytes do not fit into {free_space}")
        self.size, self.free_space = size, free_space


class BufferUnderrunError(BurlmoorError, BufferError):
    """`count` bytes were to be consumed, which is negative or more than the `size` bytes buffered."""

    def __init__(self, count: int, size: int) -> None:
        super().__init__(f"{count} bytes can't be consumed of {size}")
        self.count, self.size = count, size


class RingBuffer:
    """Owns the buffered bytes of one direction, at most `limit` of them.

    Its memory grows by doubling and is freed once the buffer is empty, since hundreds of connections are
    idle at any time.
    """

    __slots__ = ("_data", "_head", "_size", "limit")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._data = bytearray()
        self._head = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def free_space(self) -> int:
        """How many more bytes can be written."""
        return self.limit - self._size

    def write(self, data: bytes) -> None:
        """Append all of `data`.

        Raises:
            BufferFullError: the data exceeds `free_space`.
        """
        if len(data) > self.free_space:
            raise BufferFullError(len(data), self.free_space)
        if self._size + len(data) > len(self._data):
            self._grow(self._size + len(data))
        tail = (self._head + self._size) % len(self._data) if self._data else 0
        space_to_end = len(self._data) - tail
        if len(data) <= space_to_end:
            self._data[tail : tail + len(data)] = data
        else:
            self._data[tail:] = data[:space_to_end]
            self._data[: len(data) - space_to_end] = data[space_to_end:]
        self._size += len(data)

    def peek(self) -> memoryview:
        """Return the buffered bytes up to the end of the memory, without consuming them."""
        return memoryview(self._data)[self._head : min(self._head + self._size, len(self._data))]

    def consume(self, count: int) -> None:
        """Remove the first `count` buffered bytes.

        Raises:
            BufferUnderrunError: there are fewer.
        """
        if not 0 <= count <= self._size:
            raise BufferUnderrunError(count, self._size)
        self._size -= count
        if self._size:
            self._head = (self._head + count) % len(self._data)
        else:
            self._head = 0
            if len(self._data) > _MIN_CAPACITY_BYTES:
                self._data = bytearray()

    def read_all(self) -> bytes:
        """Return all buffered bytes; the buffer is empty afterwards."""
        data = bytes(self.peek())
        if len(data) < self._size:
            data += bytes(self._data[: self._size - len(data)])
        self.consume(self._size)
        return data

    def _grow(self, min_capacity: int) -> None:
        capacity = max(_MIN_CAPACITY_BYTES, len(self._data))
        while capacity < min_capacity:
            capacity *= 2
        buffered = self.read_all()
        self._data = bytearray(min(capacity, self.limit))
        self._data[: len(buffered)] = buffered
        self._head = 0
        self._size = len(buffered)
