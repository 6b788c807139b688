"""Encodes membership messages: one datagram per message, with as many member states as fit into 256 bytes.

    message: magic 1, version 1, kind 1, sequence number 4, digest 4, node to ping (length 1, bytes),
        states, CRC-32 of all preceding bytes 4
    state: name (length 1, bytes), IPv4 address 4, port 2, generation 4, nonce 2, incarnation 2, status 1

Numbers are field sizes in bytes; integers are in network byte order. `decode` raises `InvalidDatagramError`,
and no other error, for any datagram that is foreign, truncated, corrupted or of another version.
"""

from __future__ import annotations

import enum
import socket
import struct
import zlib
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.errors import BurlmoorError
from burlmoor.membership.member import MemberState, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_DATAGRAM_BYTES = 256  # limit of the platform's protocol
MAX_NAME_BYTES = 64  # of a node's name in UTF-8
_MAGIC = 0xB7
_VERSION = 1
_HEADER = struct.Struct("!BBBII")
_STATE = struct.Struct("!4sHIHHB")
_CHECKSUM = struct.Struct("!I")
_MIN_DATAGRAM_BYTES = _HEADER.size + 1 + _CHECKSUM.size
_MIN_STATES_PER_SPLIT_MESSAGE = 2  # the sender's own state and one more


class InvalidNodeNameError(BurlmoorError, ValueError):
    """A node's name is empty or too long to be encoded."""

    def __init__(self, name: str) -> None:
        super().__init__(f"invalid node name {name!r}: it must have 1 to {MAX_NAME_BYTES} bytes")
        self.name = name


class DatagramField(enum.Enum):
    """The parts of a datagram that can be invalid."""

    LENGTH = "length"
    MAGIC_AND_VERSION = "magic_and_version"
    CHECKSUM = "checksum"
    BODY = "body"
    NAME_LENGTH = "name_length"
    STATE_NAME = "state_name"
    STATE_COUNT = "state_count"


class InvalidDatagramError(BurlmoorError, ValueError):
    """A datagram is not a valid message; the error names the invalid field, its value and allowed values."""

    def __init__(self, field: DatagramField, value: object, allowed: str) -> None:
        super().__init__(f"invalid datagram: {field.value} is {value!r}, expected {allowed}")
        self.field = field
        self.value = value
        self.allowed = allowed


class MessageKind(enum.IntEnum):
    """The purpose of a message."""

    PING = 1  # requests an ACK
    ACK = 2  # the response, with the ping's sequence number
    PING_REQUEST = 3  # asks the recipient to ping `node_to_ping` and to relay the ACK
    SYNC = 4  # part of the sender's full state; requests the recipient's full state
    GOSSIP = 5  # carries states; with a number, also confirms the arrival of that PING_REQUEST


class Message(NamedTuple):
    """One message. The first state is always the sender's own."""

    kind: MessageKind
    sequence_number: int
    digest: int  # checksum of the sender's member table
    states: tuple[MemberState, ...]
    node_to_ping: str = ""  # empty unless `kind` is PING_REQUEST

    @property
    def sender(self) -> MemberState:
        """The sender's own state."""
        return self.states[0]


def _encode_name(name: str) -> bytes:
    data = name.encode()
    if not 0 < len(data) <= MAX_NAME_BYTES:
        raise InvalidNodeNameError(name)
    return bytes([len(data)]) + data


class EncodedMessage(NamedTuple):
    """A datagram, and the number of the message's states that it contains."""

    datagram: bytes
    state_count: int


class _DecodedName(NamedTuple):
    name: str
    next_offset: int  # of the first byte after the name


def _encode_state(state: MemberState) -> bytes:
    host, port = state.address
    return _encode_name(state.name) + _STATE.pack(
        socket.inet_aton(host), port, state.generation, state.nonce, state.incarnation, state.status
    )


def encode(message: Message) -> EncodedMessage:
    """Encode a message with its first states, as many as fit into the datagram.

    Raises:
        InvalidNodeNameError: a name is empty or too long.
    """
    data = _HEADER.pack(_MAGIC, _VERSION, message.kind, message.sequence_number, message.digest)
    data += _encode_name(message.node_to_ping) if message.node_to_ping else b"\0"
    count = 0
    for state in message.states:
        encoded = _encode_state(state)
        if len(data) + len(encoded) + _CHECKSUM.size > MAX_DATAGRAM_BYTES:
            break
        data += encoded
        count += 1
    return EncodedMessage(data + _CHECKSUM.pack(zlib.crc32(data)), count)


def split_into_messages(
    kind: MessageKind, sequence_number: int, digest: int, sender: MemberState, states: Sequence[MemberState]
) -> list[Message]:
    """Split states into as few messages as possible, each with the sender's own state first.

    If a message has no room for any further state, the remaining states are dropped.
    """
    messages: list[Message] = []
    remaining = list(states)
    while remaining or not messages:
        message = Message(kind, sequence_number, digest, (sender, *remaining))
        count = encode(message).state_count
        messages.append(message._replace(states=message.states[:count]))
        if count < _MIN_STATES_PER_SPLIT_MESSAGE:
            break
        remaining = remaining[count - 1 :]
    return messages


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises:
        InvalidDatagramError: the datagram is not a complete message of this version.
    """
    if not _MIN_DATAGRAM_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        allowed = f"{_MIN_DATAGRAM_BYTES} to {MAX_DATAGRAM_BYTES} bytes"
        raise InvalidDatagramError(DatagramField.LENGTH, len(data), allowed)
    magic, version, kind, sequence_number, digest = _HEADER.unpack_from(data)
    if (magic, version) != (_MAGIC, _VERSION):
        raise InvalidDatagramError(
            DatagramField.MAGIC_AND_VERSION, (magic, version), f"{_MAGIC} and {_VERSION}"
        )
    body = data[: -_CHECKSUM.size]
    (checksum,) = _CHECKSUM.unpack(data[-_CHECKSUM.size :])
    if zlib.crc32(body) != checksum:
        raise InvalidDatagramError(DatagramField.CHECKSUM, checksum, "the CRC-32 of the bytes before it")
    try:
        node_to_ping, offset = _decode_name(body, _HEADER.size)
        members = _decode_states(body, offset)
        return Message(MessageKind(kind), sequence_number, digest, members, node_to_ping)
    except InvalidDatagramError:
        raise
    except (struct.error, IndexError, ValueError) as error:
        raise InvalidDatagramError(DatagramField.BODY, body, "complete fields with known values") from error


def _decode_name(data: bytes, offset: int) -> _DecodedName:
    length = data[offset]
    end = offset + 1 + length
    if length > MAX_NAME_BYTES or end > len(data):
        raise InvalidDatagramError(
            DatagramField.NAME_LENGTH, length, f"at most {MAX_NAME_BYTES} and the number of remaining bytes"
        )
    return _DecodedName(data[offset + 1 : end].decode(), end)


def _decode_states(data: bytes, offset: int) -> tuple[MemberState, ...]:
    """Decode the states from an offset to the end of the data.

    Raises:
        InvalidDatagramError: there is no state, or a state has no name.
    """
    states: list[MemberState] = []
    while offset < len(data):
        name, offset = _decode_name(data, offset)
        if not name:
            raise InvalidDatagramError(DatagramField.STATE_NAME, name, f"1 to {MAX_NAME_BYTES} bytes")
        host, port, generation, nonce, incarnation, status = _STATE.unpack_from(data, offset)
        offset += _STATE.size
        address = (socket.inet_ntoa(host), port)
        states.append(MemberState(name, address, generation, nonce, incarnation, MemberStatus(status)))
    if not states:
        raise InvalidDatagramError(DatagramField.STATE_COUNT, 0, "at least 1")
    return tuple(states)
