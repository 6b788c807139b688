"""Encodes handover messages as datagrams; fragments messages that do not fit into one datagram."""

from __future__ import annotations

import msgspec

from burlmoor.errors import BurlmoorError
from burlmoor.lifecycle.handover_messages import PROTOCOL_VERSION, Fragment, Message

MAX_DATAGRAM_BYTES = 160 * 1024  # Linux allows just under the send buffer, 208 KiB by default
_MAX_MESSAGE_BYTES = 16 << 20  # fits a snapshot with the statistics of thousands of executors
_FRAGMENT_BYTES = 128 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


class HandoverProtocolError(BurlmoorError, ValueError):
    """A message that was received, or is to be sent, violates the handover protocol."""


class UnsupportedVersionError(HandoverProtocolError):
    """The other process uses another version of the protocol."""

    def __init__(self, version: int) -> None:
        super().__init__(f"unsupported handover protocol version {version}: expected {PROTOCOL_VERSION}")
        self.version = version


class MessageTooLongError(HandoverProtocolError):
    """A message is longer than the protocol allows, even in fragments."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(
            f"handover message of {size_bytes} bytes exceeds the limit of {_MAX_MESSAGE_BYTES} bytes"
        )
        self.size_bytes = size_bytes


def encode_datagrams(message: Message) -> list[bytes]:
    """Encode a message as the datagrams that carry it, in order.

    Raises:
        MessageTooLongError: the message is longer than the protocol allows.
    """
    data = _ENCODER.encode(message)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    if len(data) > _MAX_MESSAGE_BYTES:
        raise MessageTooLongError(len(data))
    return [
        _ENCODER.encode(Fragment(data[start : start + _FRAGMENT_BYTES], start + _FRAGMENT_BYTES >= len(data)))
        for start in range(0, len(data), _FRAGMENT_BYTES)
    ]


class MessageDecoder:
    """Decodes datagrams, and reassembles fragmented messages."""

    def __init__(self) -> None:
        self._fragments = bytearray()

    def decode(self, datagram: bytes) -> Message | None:
        """Decode the next datagram; return None if the message needs further fragments.

        Raises:
            MessageTooLongError: the reassembled message is longer than the protocol allows.
            msgspec.MsgspecError: the datagram is not a message of this protocol.
        """
        message = _DECODER.decode(datagram)
        if not isinstance(message, Fragment):
            return message
        self._fragments += message.data
        if len(self._fragments) > _MAX_MESSAGE_BYTES:
            raise MessageTooLongError(len(self._fragments))
        if not message.is_last:
            return None
        data, self._fragments = self._fragments, bytearray()
        return _DECODER.decode(data)
