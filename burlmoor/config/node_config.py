"""What this node is told at its start: the environment and the configuration file."""

from __future__ import annotations

import resource
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from burlmoor.config.settings import NodeSettings, parse_settings
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.transport.stream import parse_address

if TYPE_CHECKING:
    from burlmoor.config.options import Options


class InvalidConfigError(Exception):
    """The configuration cannot be meant; the text names the field, a line a fault."""


class _Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class _File(msgspec.Struct):
    settings: dict[str, Any]
    seed: str = "0"
    name: str = ""
    listen: str = ""
    discovery: str = ""
    control: str = ""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: DiscoveredList | None = None
    peers: dict[str, str] | list[str] | None = None
    peers_all: str | None = None
    peer_listen: str | None = None


class Peers(NamedTuple):
    """Where other nodes of the tier are heard and reached by datagrams, where they may be."""

    listen: tuple[str, int]
    others: tuple[tuple[str, tuple[str, int]], ...]  # by name, or by number where none is given
    everyone: tuple[str, int] | None  # one address for all of them


class NodeConfig(NamedTuple):
    """All that the wiring needs."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    max_sockets: int
    cached_endpoints: DiscoveredList | None
    settings: NodeSettings
    admin: tuple[str, int] | None = None  # where operators' calls come in
    listener_fd: int | None = None  # the descriptor of a socket that listens already
    state_folder: Path | None = None  # what outlives this process, for the one that comes next
    options: Options | None = None  # what operators have switched on; None: nothing
    peers: Peers | None = None  # None: nodes don't talk


def load_config(environment: Mapping[str, str], again: bool = False) -> NodeConfig:
    """The configuration, or `BadConfig`. Where both speak, the environment wins.

    Read `again`, while the node runs, the file's discovery wins: the environment is as old as the process.
    """
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise InvalidConfigError("RELAY_CONFIG: not set")
    try:
        given = msgspec.json.decode(Path(path).read_bytes(), type=_File)
    except OSError as error:
        raise InvalidConfigError(f"RELAY_CONFIG: {path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise InvalidConfigError(f"RELAY_CONFIG: {path}: {error}") from error
    try:
        settings = parse_settings(given.settings)
        settings.policy.check()
    except ValueError as error:
        raise InvalidConfigError(f"settings: {error}") from error
    try:
        seed = int(given.seed, 16)
    except ValueError as error:
        raise InvalidConfigError("seed: not a hexadecimal number") from error
    told = (environment.get("RELAY_DISCOVERY"), given.discovery)
    discovery = (told[1] or told[0] if again else told[0] or told[1]) or ""
    _address("discovery", discovery)
    control = environment.get("RELAY_CONTROL") or given.control
    passed = environment.get("RELAY_PASSED_SOCKET")
    folder = environment.get("TMPDIR")
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return NodeConfig(
        name=environment.get("RELAY_NAME") or given.name or "node",
        listen=_address("listen", environment.get("RELAY_LISTEN") or given.listen),
        discovery=discovery,
        seed=seed,
        max_sockets=given.limits.sockets
        if hard == resource.RLIM_INFINITY
        else min(given.limits.sockets, hard),
        cached_endpoints=given.known,
        settings=settings,
        admin=_address("control", control) if control else None,
        listener_fd=None if not passed or again else _listening(passed),
        state_folder=Path(folder) if folder else None,
        options=options_from(environment),
        peers=_peers(given),
    )


def _peers(given: _File) -> Peers | None:
    """Where other nodes are, or `BadConfig`; None where none may be spoken to."""
    if not given.peer_listen or not (given.peers or given.peers_all):
        return None
    named = given.peers.items() if isinstance(given.peers, dict) else enumerate(given.peers or ())
    return Peers(
        _address("peer_listen", given.peer_listen),
        tuple((str(name), _address(f"peers: {name}", text)) for name, text in named),
        _address("peers_all", given.peers_all) if given.peers_all else None,
    )


def options_from(environment: Mapping[str, str]) -> Options | None:
    """The operators' options, or `BadConfig`; None where no file is named."""
    path = environment.get("BURLMOOR_OPTIONS")
    if not path:
        return None
    # Imported only here: a node without the file starts without what reads it.
    from burlmoor.config.options import InvalidOptionsError, read_options  # noqa: PLC0415

    try:
        return read_options(Path(path))
    except InvalidOptionsError as error:
        raise InvalidConfigError("\n".join(error.faults)) from error


def _listening(text: str) -> int:
    """The descriptor of a TCP socket that listens; whoever passed it goes on owning what it is bound to."""
    try:
        sock = socket.socket(fileno=int(text))
    except (ValueError, OSError) as error:
        raise InvalidConfigError(f"RELAY_PASSED_SOCKET: {text!r} is no socket") from error
    listens = sock.type == socket.SOCK_STREAM and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    number = sock.detach()
    if not listens:
        raise InvalidConfigError(f"RELAY_PASSED_SOCKET: {text} does not listen")
    return number


def _address(field: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise InvalidConfigError(f"{field}: {error}") from error
