"""Encoded messages decode to the same states; all other data raises `InvalidDatagramError`."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.membership.codec import (
    InvalidDatagramError,
    InvalidNodeNameError,
    Message,
    MessageKind,
    decode,
    encode,
)
from burlmoor.membership.member import MemberState, MemberStatus

member_states = st.builds(
    MemberState,
    name=st.text(min_size=1, max_size=16),
    address=st.tuples(st.ip_addresses(v=4).map(str), st.integers(0, 65535)),
    generation=st.integers(0, 2**32 - 1),
    nonce=st.integers(0, 65535),
    incarnation=st.integers(0, 65535),
    status=st.sampled_from(MemberStatus),
)


@given(
    st.sampled_from(MessageKind), st.integers(0, 2**32 - 1), st.lists(member_states, min_size=1, max_size=30)
)
def test_datagram_decodes_to_the_states_that_fit(
    kind: MessageKind, sequence_number: int, states: list[MemberState]
) -> None:
    data, count = encode(
        Message(kind, sequence_number, 7, tuple(states), "n5" if kind is MessageKind.PING_REQUEST else "")
    )
    assert len(data) <= 256
    assert count >= 1
    decoded = decode(data)
    assert (decoded.kind, decoded.sequence_number) == (kind, sequence_number)
    assert decoded.states == tuple(states[:count])


@given(st.binary(max_size=300), st.integers(0, 255), st.integers(0, 255))
def test_arbitrary_bytes_decode_or_raise_invalid_datagram_error(noise: bytes, index: int, value: int) -> None:
    state = MemberState("n1", ("127.0.0.1", 9), 1, 2, 3, MemberStatus.ALIVE)
    valid, _ = encode(Message(MessageKind.PING, 1, 2, (state,)))
    index %= len(valid)
    altered = valid[:index] + bytes([value]) + valid[index + 1 :]
    for data in (noise, valid[:index], valid + noise[:3], altered):
        try:
            assert decode(data).states or data == valid
        except InvalidDatagramError:
            continue


@pytest.mark.parametrize("name", ["", "x" * 65])
def test_name_of_invalid_length_is_rejected(name: str) -> None:
    state = MemberState(name, ("127.0.0.1", 9), 1, 2, 3, MemberStatus.ALIVE)
    with pytest.raises(InvalidNodeNameError, match="1 to 64 bytes"):
        encode(Message(MessageKind.PING, 1, 2, (state,)))
