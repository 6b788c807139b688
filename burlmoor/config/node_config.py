"""A node's configuration, read from the environment and the configuration file."""

from __future__ import annotations

import resource
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from burlmoor.config.errors import ConfigFault, InvalidConfigError, decoding_fault, invalid_value
from burlmoor.config.settings import NodeSettings, parse_settings
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.transport.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burlmoor.config.options import Options

__all__ = ["InvalidConfigError", "NodeConfig", "Peers", "load_config", "load_options"]

Address = tuple[str, int]

_CONFIG_VARIABLE = "RELAY_CONFIG"
_OPTIONS_VARIABLE = "BURLMOOR_OPTIONS"
_LISTENER_VARIABLE = "RELAY_PASSED_SOCKET"


class _MachineLimits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class _ConfigFile(msgspec.Struct):
    settings: dict[str, Any]
    seed: str = "0"
    name: str = ""
    listen: str = ""
    discovery: str = ""
    control: str = ""
    limits: _MachineLimits = msgspec.field(default_factory=_MachineLimits)
    known: DiscoveredList | None = None
    peers: dict[str, str] | list[str] | None = None
    peers_all: str | None = None
    peer_listen: str | None = None


class Peers(NamedTuple):
    """The other nodes, with which this node may exchange datagrams."""

    listen: Address
    others: tuple[tuple[str, Address], ...]  # by name, or by index if the file gives no names
    broadcast: Address | None  # a single address that reaches all of them


class NodeConfig(NamedTuple):
    """The complete configuration of a node."""

    name: str
    listen: Address
    discovery: str
    seed: int
    max_sockets: int
    cached_endpoints: DiscoveredList | None
    settings: NodeSettings
    admin: Address | None = None  # the admin server's address; None: the server is off
    listener_fd: int | None = None  # the descriptor of a socket that is already listening
    state_folder: Path | None = None  # where files for the node's next process are stored
    options: Options | None = None  # of the optional subsystems; None: all are off
    peers: Peers | None = None  # None: nodes don't exchange datagrams


def load_config(environment: Mapping[str, str]) -> NodeConfig:
    """Read and check the whole configuration at startup; the environment overrides the file.

    Raises:
        InvalidConfigError: a variable, the file or one of its fields is invalid.
    """
    file = _read_file(environment)
    discovery = environment.get("RELAY_DISCOVERY") or file.discovery
    return _build_config(environment, file, discovery, environment.get(_LISTENER_VARIABLE))


def reload_config(environment: Mapping[str, str]) -> NodeConfig:
    """Read and check the whole configuration while the node runs.

    The environment is that of the process's start, so the file's `discovery` overrides it, and the passed
    listening socket is ignored.

    Raises:
        InvalidConfigError: a variable, the file or one of its fields is invalid.
    """
    file = _read_file(environment)
    discovery = file.discovery or environment.get("RELAY_DISCOVERY") or ""
    return _build_config(environment, file, discovery, passed_listener=None)


def _build_config(
    environment: Mapping[str, str], file: _ConfigFile, discovery: str, passed_listener: str | None
) -> NodeConfig:
    settings = _parse_settings(file.settings)
    seed = _parse_seed(file.seed)
    _parse_address("discovery", discovery)  # only to check it
    control = environment.get("RELAY_CONTROL") or file.control
    state_folder = environment.get("TMPDIR")
    return NodeConfig(
        name=environment.get("RELAY_NAME") or file.name or "node",
        listen=_parse_address("listen", environment.get("RELAY_LISTEN") or file.listen),
        discovery=discovery,
        seed=seed,
        max_sockets=_limit_sockets(file.limits.sockets),
        cached_endpoints=file.known,
        settings=settings,
        admin=_parse_address("control", control) if control else None,
        listener_fd=_parse_listener_fd(passed_listener) if passed_listener else None,
        state_folder=Path(state_folder) if state_folder else None,
        options=load_options(environment),
        peers=_parse_peers(file),
    )


def load_options(environment: Mapping[str, str]) -> Options | None:
    """Read the operators' options; None if no options file is configured.

    Raises:
        InvalidConfigError: the options file is invalid.
    """
    path = environment.get(_OPTIONS_VARIABLE)
    if not path:
        return None
    # Imported lazily: nodes without an options file don't load its parser.
    from burlmoor.config.options import read_options  # noqa: PLC0415

    return read_options(Path(path))


def _read_file(environment: Mapping[str, str]) -> _ConfigFile:
    path = environment.get(_CONFIG_VARIABLE)
    if not path:
        raise InvalidConfigError(
            ConfigFault(_CONFIG_VARIABLE, "not set; it must name the configuration file")
        )
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=_ConfigFile)
    except OSError as error:
        raise InvalidConfigError(
            ConfigFault(_CONFIG_VARIABLE, f"{path}: {error.strerror}", value=path)
        ) from error
    except msgspec.MsgspecError as error:
        raise InvalidConfigError(decoding_fault(error, file=path)) from error


def _parse_settings(settings_object: dict[str, Any]) -> NodeSettings:
    try:
        settings = parse_settings(settings_object)
        settings.policy.check()
    except msgspec.MsgspecError as error:
        raise InvalidConfigError(decoding_fault(error, prefix="settings")) from error
    except ValueError as error:
        raise InvalidConfigError(ConfigFault("settings", str(error))) from error
    return settings


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise InvalidConfigError(invalid_value("seed", text, "a hexadecimal number")) from error


def _limit_sockets(max_sockets: int) -> int:
    """Return the configured number of sockets, capped at the process's limit of descriptors."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return max_sockets if limit == resource.RLIM_INFINITY else min(max_sockets, limit)


def _parse_peers(file: _ConfigFile) -> Peers | None:
    if not file.peer_listen or not (file.peers or file.peers_all):
        return None
    named = file.peers.items() if isinstance(file.peers, dict) else enumerate(file.peers or ())
    return Peers(
        listen=_parse_address("peer_listen", file.peer_listen),
        others=tuple((str(name), _parse_address(f"peers: {name}", address)) for name, address in named),
        broadcast=_parse_address("peers_all", file.peers_all) if file.peers_all else None,
    )


def _parse_listener_fd(text: str) -> int:
    """Return the descriptor of a listening TCP socket that was passed to this process; it stays open.

    Raises:
        InvalidConfigError: the text is not the descriptor of a listening TCP socket.
    """
    try:
        sock = socket.socket(fileno=int(text))
    except (ValueError, OSError) as error:
        raise InvalidConfigError(
            invalid_value(_LISTENER_VARIABLE, text, "the descriptor of a listening TCP socket")
        ) from error
    is_listening = sock.type == socket.SOCK_STREAM and sock.getsockopt(
        socket.SOL_SOCKET, socket.SO_ACCEPTCONN
    )
    descriptor = sock.detach()
    if not is_listening:
        raise InvalidConfigError(
            invalid_value(_LISTENER_VARIABLE, text, "the descriptor of a listening TCP socket")
        )
    return descriptor


def _parse_address(field: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise InvalidConfigError(invalid_value(field, text, "host:port, port 1 to 65535")) from error
