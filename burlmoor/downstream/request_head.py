"""The head of a request whose body is not complete yet, in a form that takes little memory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import h11

_SEPARATOR = b"\n"  # h11 accepts it neither in a field's name nor in its value


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The method, the target and the fields of a request.

    The fields are kept as one text: clients may send thousands of short ones, and two objects for each would
    take some 20 times the memory.
    """

    method: bytes
    target: bytes
    _encoded_fields: bytes

    @classmethod
    def from_event(cls, event: h11.Request) -> RequestHead:
        """Return the head that h11 has parsed."""
        encoded_fields = _SEPARATOR.join(b"%b:%b" % field for field in event.headers)
        return cls(event.method, event.target, encoded_fields)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("ascii", "replace")

    @property
    def fields(self) -> list[tuple[bytes, bytes]]:
        """The names, in lower case, and the values, in the order in which they were sent."""
        lines = self._encoded_fields.split(_SEPARATOR)
        return [(name, value) for name, _, value in (line.partition(b":") for line in lines)]
