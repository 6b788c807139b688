"""Configuration: what is read, and the one line that bad configuration gets."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from burlmoor.config import node_config

OPTIONS: dict[str, Any] = {
    "RequestClasses": [
        {"Name": "lookup", "Credit": 1, "Target": 2500.0, "HardLimit": 5000.0, "Idempotency": "repeatable"},
        {"Name": "once", "Credit": 3, "Target": 2500.0, "HardLimit": 5000.0, "Idempotency": "once"},
        {"Name": "keyed", "Credit": 2, "Target": 2500.0, "HardLimit": 5000.0, "Idempotency": "by_key",
         "DedupScope": "all", "RepeatWindow": 15000.0},
    ],
    "Limits": {"SendCap": 4, "Cancel": True, "SecondCopies": True, "ConnectTimeout": 250.0},
    "Rules": {"AnswerSlack": 8.0, "StopSendingWithin": 250.0, "MustAskIn": 10000.0},
    "Specifics": {"TellsStart": True, "Progress": 2000.0},
    "RegistryMode": "ask",
    "Tick": 2.0,
    "Zone": "a",
}  # fmt: skip


def written(folder: Path, **changes: Any) -> dict[str, str]:
    given = {
        "name": "n1", "listen": "127.0.0.1:8081", "discovery": "127.0.0.1:8500", "seed": "8c1f",
        "limits": {"sockets": 900}, "settings": OPTIONS,
        "known": {"seq": 4, "whole": True, "hosts": []}, **changes,
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(given))
    return {"RELAY_CONFIG": str(folder / "config.json")}


def test_the_environment_wins_over_the_file(tmp_path: Path) -> None:
    given = node_config.load_config({**written(tmp_path), "RELAY_NAME": "n7", "RELAY_LISTEN": "127.0.0.2:90"})
    assert (given.name, given.listen, given.discovery) == ("n7", ("127.0.0.2", 90), "127.0.0.1:8500")
    assert (given.seed, given.max_sockets) == (0x8C1F, 900)
    assert given.admin is None
    told = written(tmp_path, control="127.0.0.1:9901")
    assert node_config.load_config(told).admin == ("127.0.0.1", 9901)
    assert node_config.load_config({**told, "RELAY_CONTROL": "127.0.0.1:9902"}).admin == ("127.0.0.1", 9902)
    assert given.settings.keepalive_ms == 30_000.0
    assert [each.name for each in given.settings.policy.classes] == ["lookup", "once", "keyed"]


PEERS = {"peer_listen": "127.0.0.1:9000", "peers_all": "127.0.0.9:9000"}


def test_other_nodes_are_read_where_nodes_may_talk(tmp_path: Path) -> None:
    assert node_config.load_config(written(tmp_path)).peers is None
    assert node_config.load_config(written(tmp_path, peer_listen="127.0.0.1:9000")).peers is None
    for told, name in (({"n2": "127.0.0.2:9000"}, "n2"), (["127.0.0.2:9000"], "0")):
        peers = node_config.load_config(written(tmp_path, peers=told, **PEERS)).peers
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
        ({"settings": {**OPTIONS, "Tick": "often"}}, "Tick"),
        ({"settings": {**OPTIONS, "Tick": 0}}, "tick"),
        ({"settings": {**OPTIONS, "RequestClasses": []}}, "classes"),
        ({"known": {"seq": "new"}}, "known"),
    ],
)
def test_bad_configuration_gets_one_plain_line(tmp_path: Path, changes: dict[str, Any], field: str) -> None:
    environment = {**os.environ, **written(tmp_path, **changes)}
    done = subprocess.run(
        [sys.executable, "-m", "burlmoor"], env=environment, capture_output=True, text=True, timeout=30,
        check=False,
    )  # fmt: skip
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1, done.stderr
    assert field in done.stderr


def test_a_passed_descriptor_has_to_listen(tmp_path: Path) -> None:
    with socket.socket() as bound, socket.create_server(("127.0.0.1", 0)) as listens:
        good = {**written(tmp_path), "RELAY_PASSED_SOCKET": str(listens.fileno())}
        assert node_config.load_config(good).listener_fd == listens.fileno()
        for text in ("three", "987", str(bound.fileno())):
            with pytest.raises(node_config.InvalidConfigError, match="RELAY_PASSED_SOCKET"):
                node_config.load_config({**good, "RELAY_PASSED_SOCKET": text})
