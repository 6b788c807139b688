"""A bounded ring buffer for the bytes of one direction of a connection."""

from __future__ import annotations

from burlmoor.errors import BurlmoorError

_MIN_CAPACITY_BYTES = 4096


class BufferFullError(BurlmoorError, BufferError):
    """A write of `size` bytes exceeded the `free_space` bytes of free space."""

    def __init__(self, size: int, free_space: int) -> None:
        super().__init__(f"cannot write {size} bytes: the buffer has space for {free_space}")
        self.size, self.free_space = size, free_space


class BufferUnderrunError(BurlmoorError, BufferError):
    """A `count` of bytes to consume was negative or exceeded the `size` bytes buffered."""

    def __init__(self, count: int, size: int) -> None:
        super().__init__(f"cannot consume {count} bytes: the buffer holds {size}")
        self.count, self.size = count, size


class RingBuffer:
    """A FIFO buffer of at most `limit` bytes.

    Its memory grows by doubling. Memory beyond the minimum capacity is freed once the buffer is empty, since
    hundreds of connections are idle at any time.
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
        """The number of bytes that can still be written."""
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
        """Return the first contiguous part of the buffered bytes without consuming it."""
        return memoryview(self._data)[self._head : min(self._head + self._size, len(self._data))]

    def consume(self, count: int) -> None:
        """Remove the first `count` buffered bytes.

        Raises:
            BufferUnderrunError: `count` is negative, or fewer bytes are buffered.
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
        """Return all buffered bytes and empty the buffer."""
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
