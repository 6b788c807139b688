"""The ring buffer preserves the order of bytes and enforces its limit, also where it wraps."""

import random

import pytest

from burlmoor.transport.ring_buffer import RingBuffer


@pytest.mark.parametrize("seed", range(5))
def test_bytes_are_read_in_write_order(seed: int) -> None:
    rng = random.Random(seed)
    ring = RingBuffer(10_000)
    written, read = bytearray(), bytearray()
    for _ in range(2000):
        data = rng.randbytes(min(ring.free_space, rng.choice([0, 1, 700, 5000])))
        ring.write(data)
        written += data
        count = rng.randint(0, len(ring.peek()))
        read += ring.peek()[:count]
        ring.consume(count)
        if rng.random() < 0.05:
            read += ring.read_all()
        assert len(ring) == len(written) - len(read)
    read += ring.read_all()
    assert read == written


def test_overflow_and_underrun_are_rejected() -> None:
    ring = RingBuffer(10)
    ring.write(b"12345678")
    with pytest.raises(BufferError):
        ring.write(b"abc")
    with pytest.raises(BufferError):
        ring.consume(9)
    assert ring.read_all() == b"12345678"
