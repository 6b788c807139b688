"""Datagrams between nodes: a version, one purpose, and as many facts as fit into 256 bytes.

    magic 1, version 1, kind 1, number 4, digest 4, target (length 1, bytes), facts, CRC-32 of all before 4
    a fact: name (length 1, bytes), IPv4 address 4, port 2, life 4, nonce 2, incarnation 2, state 1

Without I/O. Whatever is foreign, cut short, altered or of another version is a `BadDatagram`, no other error.
"""

from __future__ import annotations

import enum
import socket
import struct
import zlib
from collections.abc import Sequence
from typing import NamedTuple

from burlmoor.membership.member import MemberState, MemberStatus

MAX_DATAGRAM_BYTES = 256  # bytes of a datagram, by the platform's protocol
NAME_MOST = 64  # bytes of a node's name
_MAGIC, _VERSION = 0xB7, 1
_HEAD = struct.Struct("!BBBII")
_FACT = struct.Struct("!4sHIHHB")
_CRC = struct.Struct("!I")


class InvalidDatagramError(ValueError):
    """What came is none of ours; the text says why."""


class MessageKind(enum.IntEnum):
    """What a datagram is for."""

    PING = 1  # answer this
    ACK = 2  # the answer, with the ping's number
    PING_REQUEST = 3  # ping the target for me, and pass its answer on
    SYNC = 4  # my view, a piece of it; tell me yours
    GOSSIP = 5  # facts, nothing more


class Message(NamedTuple):
    """One datagram. The first fact is always the sender's own."""

    kind: MessageKind
    number: int
    digest: int  # of the sender's view, by which two that agree know it
    members: tuple[MemberState, ...]
    target: str = ""  # of an ASK


def _name(text: str) -> bytes:
    data = text.encode()
    if not 0 < len(data) <= NAME_MOST:
        raise ValueError(f"{text!r}: a name has 1 to {NAME_MOST} bytes")
    return bytes([len(data)]) + data


def _packed(fact: MemberState) -> bytes:
    host, port = fact.address
    return _name(fact.name) + _FACT.pack(
        socket.inet_aton(host), port, fact.generation, fact.nonce, fact.incarnation, fact.status
    )


def encode(message: Message) -> tuple[bytes, int]:
    """The datagram, and how many of the facts found room, in their order."""
    data = _HEAD.pack(_MAGIC, _VERSION, message.kind, message.number, message.digest)
    data += _name(message.target) if message.target else b"\0"
    count = 0
    for fact in message.members:
        packed = _packed(fact)
        if len(data) + len(packed) + _CRC.size > MAX_DATAGRAM_BYTES:
            break
        data += packed
        count += 1
    return data + _CRC.pack(zlib.crc32(data)), count


def pieces(
    kind: MessageKind, number: int, digest: int, own: MemberState, facts: Sequence[MemberState]
) -> list[Message]:
    """As few messages as carry all facts, each with the sender's own first."""
    found: list[Message] = []
    rest = list(facts)
    while rest or not found:
        message = Message(kind, number, digest, (own, *rest))
        _, count = encode(message)
        found.append(message._replace(members=message.members[:count]))
        if count < 2:
            break
        rest = rest[count - 1 :]
    return found


def _take(data: bytes, at: int) -> tuple[str, int]:
    end = at + 1 + data[at]
    if data[at] > NAME_MOST or end > len(data):
        raise InvalidDatagramError("a name is cut short")
    return data[at + 1 : end].decode(), end


def decode(data: bytes) -> Message:
    """The message of a datagram, or `BadDatagram`."""
    if not _HEAD.size + 1 + _CRC.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise InvalidDatagramError(f"{len(data)} bytes")
    magic, version, kind, number, digest = _HEAD.unpack_from(data)
    if (magic, version) != (_MAGIC, _VERSION):
        raise InvalidDatagramError(f"magic {magic}, version {version}")
    body, (crc,) = data[: -_CRC.size], _CRC.unpack(data[-_CRC.size :])
    if zlib.crc32(body) != crc:
        raise InvalidDatagramError("altered on its way")
    try:
        target, at = _take(body, _HEAD.size)
        facts = []
        while at < len(body):
            name, at = _take(body, at)
            host, port, life, nonce, incarnation, state = _FACT.unpack_from(body, at)
            at += _FACT.size
            if not name:
                raise InvalidDatagramError("a fact of nobody")
            where = socket.inet_ntoa(host), port
            facts.append(MemberState(name, where, life, nonce, incarnation, MemberStatus(state)))
        if not facts:
            raise InvalidDatagramError("nobody's")
        return Message(MessageKind(kind), number, digest, tuple(facts), target)
    except (struct.error, IndexError, ValueError) as error:
        raise InvalidDatagramError(str(error)) from error
