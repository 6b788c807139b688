"""A node's configuration: its sources, and the one-line error for an invalid configuration."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from burlmoor.config import node_config
from burlmoor.config.errors import ConfigFault
from tests.support.configuration import SETTINGS_OBJECT, write_config


def test_the_environment_has_precedence_over_the_file(tmp_path: Path) -> None:
    config = node_config.load_config(
        {**write_config(tmp_path), "RELAY_NAME": "n7", "RELAY_LISTEN": "127.0.0.2:90"}
    )
    assert (config.name, config.listen, config.discovery) == ("n7", ("127.0.0.2", 90), "127.0.0.1:8500")
    assert (config.seed, config.max_sockets) == (0x8C1F, 900)
    assert config.admin is None
    environment = write_config(tmp_path, control="127.0.0.1:9901")
    assert node_config.load_config(environment).admin == ("127.0.0.1", 9901)
    environment["RELAY_CONTROL"] = "127.0.0.1:9902"
    assert node_config.load_config(environment).admin == ("127.0.0.1", 9902)
    assert config.settings.keepalive_ms == 30_000.0
    assert [job_class.name for job_class in config.settings.policy.classes] == ["lookup", "once", "keyed"]


PEERS = {"peer_listen": "127.0.0.1:9000", "peers_all": "127.0.0.9:9000"}


def test_peers_require_a_listen_address_and_other_nodes(tmp_path: Path) -> None:
    assert node_config.load_config(write_config(tmp_path)).peers is None
    assert node_config.load_config(write_config(tmp_path, peer_listen="127.0.0.1:9000")).peers is None
    for others, name in (({"n2": "127.0.0.2:9000"}, "n2"), (["127.0.0.2:9000"], "0")):
        peers = node_config.load_config(write_config(tmp_path, peers=others, **PEERS)).peers
        assert peers is not None
        assert peers.listen == ("127.0.0.1", 9000)
        assert peers.broadcast == ("127.0.0.9", 9000)
        assert peers.others == ((name, ("127.0.0.2", 9000)),)


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({**PEERS, "peers": {"n2": "nobody"}}, "peers: n2"),
        ({**PEERS, "peers": ["127.0.0.2:9000", 7]}, "peers"),
        ({**PEERS, "peers_all": "everyone"}, "peers_all"),
        ({**PEERS, "peer_listen": "127.0.0.1:99999"}, "peer_listen"),
        ({"discovery": "127.0.0.1:http"}, "discovery"),
        ({"control": "127.0.0.1"}, "control"),
        ({"seed": "seed"}, "seed"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"settings": {**SETTINGS_OBJECT, "Tick": "often"}}, "Tick"),
        ({"settings": {**SETTINGS_OBJECT, "Tick": 0}}, "tick"),
        ({"settings": {**SETTINGS_OBJECT, "RequestClasses": []}}, "classes"),
        ({"known": {"seq": "new"}}, "known"),
    ],
)
def test_an_invalid_field_is_named_on_one_line_and_the_node_does_not_start(
    tmp_path: Path, changes: dict[str, Any], field: str
) -> None:
    environment = {**os.environ, **write_config(tmp_path, **changes)}
    done = subprocess.run(
        [sys.executable, "-m", "burlmoor"], env=environment, capture_output=True, text=True, timeout=30,
        check=False,
    )  # fmt: skip
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1, done.stderr
    assert field in done.stderr


def test_a_passed_descriptor_must_be_a_listening_socket(tmp_path: Path) -> None:
    with socket.socket() as bound, socket.create_server(("127.0.0.1", 0)) as listener:
        valid = {**write_config(tmp_path), "RELAY_PASSED_SOCKET": str(listener.fileno())}
        assert node_config.load_config(valid).listener_fd == listener.fileno()
        for text in ("three", "987", str(bound.fileno())):
            with pytest.raises(node_config.InvalidConfigError, match="RELAY_PASSED_SOCKET"):
                node_config.load_config({**valid, "RELAY_PASSED_SOCKET": text})


def test_a_fault_names_the_field_the_value_and_what_is_allowed(tmp_path: Path) -> None:
    environment = write_config(tmp_path, listen="nowhere")
    with pytest.raises(node_config.InvalidConfigError) as caught:
        node_config.load_config(environment)
    allowed = "host:port, port 1 to 65535"
    problem = f"invalid value 'nowhere'; allowed: {allowed}"
    assert caught.value.faults == (ConfigFault("listen", problem, value="nowhere", allowed=allowed),)
    assert str(caught.value) == f"listen: {problem}"


@pytest.mark.parametrize(
    ("changes", "field", "problem"),
    [
        ({"limits": {"sockets": "many"}}, "limits.sockets", "Expected `int`, got `str`"),
        ({"settings": {**SETTINGS_OBJECT, "Tick": "often"}}, "settings.Tick", "Expected `float"),
        ({"settings": {"RequestClasses": [{"Credit": 1}]}}, "settings.RequestClasses[0]", "Object missing"),
    ],
)
def test_a_decoding_fault_names_the_field_by_its_path(
    tmp_path: Path, changes: dict[str, Any], field: str, problem: str
) -> None:
    with pytest.raises(node_config.InvalidConfigError) as caught:
        node_config.load_config(write_config(tmp_path, **changes))
    (fault,) = caught.value.faults
    assert fault.field == field
    assert fault.problem.startswith(problem)
    assert isinstance(caught.value.__cause__, ValueError)


def test_an_error_names_the_file_that_is_not_json(tmp_path: Path) -> None:
    environment = write_config(tmp_path)
    path = Path(environment["RELAY_CONFIG"])
    path.write_text("{")
    with pytest.raises(node_config.InvalidConfigError) as caught:
        node_config.load_config(environment)
    assert str(caught.value).startswith(f"{path}: ")
