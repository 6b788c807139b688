"""Validation of discovery responses: rejects unusable lists and skips single invalid entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.errors import BurlmoorError
from burlmoor.transport.address import InvalidAddressError, parse_address
from burlmoor.types.endpoint_list import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_DECODER = msgspec.json.Decoder(DiscoveredList | None)
_EXCERPT_BYTES = 100  # of the response, quoted in an error
_PATH_MARK = " - at `$."  # precedes the path of the field in an error of msgspec


class InvalidEndpointListError(BurlmoorError, ValueError):
    """A response of the discovery service that is not a usable list.

    `field` is the path of the invalid field in the response (`body` if it is not a list at all), `value` the
    field's value (for a body that can't be decoded: its first bytes), `problem` what is wrong.
    """

    def __init__(self, field: str, value: object, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field, self.value, self.problem = field, value, problem


class InvalidEntry(NamedTuple):
    """One invalid entry of an otherwise usable list."""

    field: str  # path in the response, for example `hosts[2].dial`
    problem: str

    def __str__(self) -> str:
        """Return the field and what is wrong with it."""
        return f"{self.field}: {self.problem}"


class ValidatedEntries(NamedTuple):
    """The valid entries of a list, one for each endpoint, and the problems of the others."""

    valid: list[DiscoveredEndpoint]
    invalid: list[InvalidEntry]


def decode_list(body: bytes) -> DiscoveredList:
    """Decode a response of the discovery service.

    Raises:
        InvalidEndpointListError: the body is not a valid list; the error names the field.
    """
    try:
        decoded = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        problem, _, path = str(error).partition(_PATH_MARK)
        raise InvalidEndpointListError(path.rstrip("`") or "body", body[:_EXCERPT_BYTES], problem) from error
    if decoded is None:
        raise InvalidEndpointListError(field="body", value=None, problem="not a list")
    return decoded


def validate_entries(
    entries: Iterable[DiscoveredEndpoint], known: Mapping[str, DiscoveredEndpoint]
) -> ValidatedEntries:
    """Select the valid entries, one for each endpoint; `known` is the list as it was before.

    An invalid entry is skipped; rejecting the whole list would hold up the drains of all other endpoints. If
    the endpoint is known, its known entry takes the place of the invalid one, so that no drain is undone. Of
    two entries of one endpoint, `_Precedence` decides which is kept; the second one is not validated.
    """
    selected: dict[str, DiscoveredEndpoint] = {}
    invalid: list[InvalidEntry] = []
    for number, entry in enumerate(entries):
        earlier = selected.get(entry.name)
        if earlier is not None:
            invalid.append(InvalidEntry(f"hosts[{number}].host", f"{entry.name!r} is listed twice"))
            if _precedence(entry) <= _precedence(earlier):
                continue
        elif entry.state is EndpointState.LIVE:
            problem = _find_problem(entry, known)
            if problem is not None:
                invalid.append(problem._replace(field=f"hosts[{number}].{problem.field}"))
                if entry.name in known:
                    selected[entry.name] = known[entry.name]
                continue
        selected[entry.name] = entry
    return ValidatedEntries(list(selected.values()), invalid)


class _Precedence(NamedTuple):
    """Orders duplicate entries of one endpoint: the later start wins; at equal starts, the one not live."""

    started_unix_ms: float
    is_not_live: bool


def _precedence(entry: DiscoveredEndpoint) -> _Precedence:
    return _Precedence(entry.started_unix_ms, entry.state is not EndpointState.LIVE)


def _find_problem(entry: DiscoveredEndpoint, known: Mapping[str, DiscoveredEndpoint]) -> InvalidEntry | None:
    """Return the first invalid field of a live entry, or None."""
    if not entry.name:
        return InvalidEntry("host", "the name must not be empty")
    if not entry.weight >= 0.0:  # written so that NaN is rejected too
        return InvalidEntry("share", f"{entry.weight} is not a valid weight: it must be at least 0")
    address = entry.address
    if not address and entry.name in known:
        address = known[entry.name].address
    try:
        parse_address(address)
    except InvalidAddressError as error:
        return InvalidEntry("dial", str(error))
    return None
