"""Tests that handover messages too long for one datagram are fragmented and reassembled."""

from __future__ import annotations

import pytest

from burlmoor.lifecycle.handover_codec import (
    MAX_DATAGRAM_BYTES,
    MessageDecoder,
    MessageTooLongError,
    encode_datagrams,
)
from burlmoor.lifecycle.handover_messages import ForwardedCallback, Fragment, JobOpened


@pytest.mark.parametrize(("body_bytes", "datagram_count"), [(0, 1), (100_000, 1), (200_000, 2), (600_000, 5)])
def test_a_message_of_any_size_is_decoded_as_it_was_sent(body_bytes: int, datagram_count: int) -> None:
    message = ForwardedCallback(7, b"x" * body_bytes)
    datagrams = encode_datagrams(message)
    decoder = MessageDecoder()
    decoded = [decoder.decode(datagram) for datagram in datagrams]
    assert decoded == [*[None] * (datagram_count - 1), message]
    assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
    assert decoder.decode(encode_datagrams(JobOpened("a1"))[0]) == JobOpened("a1")


def test_a_message_over_the_limit_is_neither_sent_nor_reassembled() -> None:
    with pytest.raises(MessageTooLongError):
        encode_datagrams(ForwardedCallback(7, b"x" * (17 << 20)))
    decoder = MessageDecoder()
    fragment = encode_datagrams(Fragment(b"x" * 100_000, False))[0]
    for _ in range(167):
        assert decoder.decode(fragment) is None
    with pytest.raises(MessageTooLongError) as raised:
        decoder.decode(fragment)
    assert raised.value.size_bytes == 16_800_000
