"""Configuration: what is read, and the one line that bad configuration gets."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from burlmoor.config import node_config
from tests.support.configuration import SETTINGS_OBJECT, write_config


def test_the_environment_wins_over_the_file(tmp_path: Path) -> None:
    given = node_config.load_config(
        {**write_config(tmp_path), "RELAY_NAME": "n7", "RELAY_LISTEN": "127.0.0.2:90"}
    )
    assert (given.name, given.listen, given.discovery) == ("n7", ("127.0.0.2", 90), "127.0.0.1:8500")
    assert (given.seed, given.max_sockets) == (0x8C1F, 900)
    assert given.admin is None
    told = write_config(tmp_path, control="127.0.0.1:9901")
    assert node_config.load_config(told).admin == ("127.0.0.1", 9901)
    assert node_config.load_config({**told, "RELAY_CONTROL": "127.0.0.1:9902"}).admin == ("127.0.0.1", 9902)
    assert given.settings.keepalive_ms == 30_000.0
    assert [each.name for each in given.settings.policy.classes] == ["lookup", "once", "keyed"]


PEERS = {"peer_listen": "127.0.0.1:9000", "peers_all": "127.0.0.9:9000"}


def test_other_nodes_are_read_where_nodes_may_talk(tmp_path: Path) -> None:
    assert node_config.load_config(write_config(tmp_path)).peers is None
    assert node_config.load_config(write_config(tmp_path, peer_listen="127.0.0.1:9000")).peers is None
    for told, name in (({"n2": "127.0.0.2:9000"}, "n2"), (["127.0.0.2:9000"], "0")):
        peers = node_config.load_config(write_config(tmp_path, peers=told, **PEERS)).peers
        assert peers is not None
        assert peers.listen == ("127.0.0.1", 9000)
        assert peers.everyone == ("127.0.0.9", 9000)
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
def test_bad_configuration_gets_one_plain_line(tmp_path: Path, changes: dict[str, Any], field: str) -> None:
    environment = {**os.environ, **write_config(tmp_path, **changes)}
    done = subprocess.run(
        [sys.executable, "-m", "burlmoor"], env=environment, capture_output=True, text=True, timeout=30,
        check=False,
    )  # fmt: skip
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1, done.stderr
    assert field in done.stderr


def test_a_passed_descriptor_has_to_listen(tmp_path: Path) -> None:
    with socket.socket() as bound, socket.create_server(("127.0.0.1", 0)) as listens:
        good = {**write_config(tmp_path), "RELAY_PASSED_SOCKET": str(listens.fileno())}
        assert node_config.load_config(good).listener_fd == listens.fileno()
        for text in ("three", "987", str(bound.fileno())):
            with pytest.raises(node_config.InvalidConfigError, match="RELAY_PASSED_SOCKET"):
                node_config.load_config({**good, "RELAY_PASSED_SOCKET": text})
