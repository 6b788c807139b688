"""The ring keeps the order of bytes and its bound, wherever it wraps."""

import random

import pytest

from burlmoor.transport.ring_buffer import RingBuffer


@pytest.mark.parametrize("seed", range(5))
def test_bytes_come_out_as_they_went_in(seed: int) -> None:
    rng, ring = random.Random(seed), RingBuffer(10_000)
    put, got = bytearray(), bytearray()
    for _ in range(2000):
        data = rng.randbytes(min(ring.free_space, rng.choice([0, 1, 700, 5000])))
        ring.write(data)
        put += data
        count = rng.randint(0, len(ring.peek()))
        got += ring.peek()[:count]
        ring.consume(count)
        if rng.random() < 0.05:
            got += ring.read_all()
        assert len(ring) == len(put) - len(got)
    got += ring.read_all()
    assert got == put


def test_the_bound_holds() -> None:
    ring = RingBuffer(10)
    ring.write(b"12345678")
    with pytest.raises(BufferError):
        ring.write(b"abc")
    with pytest.raises(BufferError):
        ring.consume(9)
    assert ring.read_all() == b"12345678"
