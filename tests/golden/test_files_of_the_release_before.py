"""Files and messages that commit 890869d wrote are decoded, and encoded again byte for byte.

`n1.by-hand` is an overrides file; `snapshot.msgpack` is the message that a process sends to its successor.
"""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from burlmoor.admin.overrides import OverridesFile
from burlmoor.lifecycle.handover_messages import Snapshot
from tests.golden.test_encodings import ENDPOINT_LIST, OVERRIDES
from tests.policy.statistics.test_snapshot import restore
from tests.support.dispatcher_driver import DispatcherDriver, entries

if TYPE_CHECKING:
    from burlmoor.log_events import LogEvent

DATA = Path(__file__).parent / "data" / "890869d"
SNAPSHOT = (DATA / "snapshot.msgpack").read_bytes()


def test_the_overrides_file_is_loaded_and_saved_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "n1.by-hand"
    shutil.copy(DATA / path.name, path)
    logged: list[LogEvent] = []
    file = OverridesFile(path, logged.append)
    loaded = file.load()
    assert loaded == OVERRIDES
    file.save(loaded)
    assert path.read_bytes() == (DATA / path.name).read_bytes()
    assert logged == []


def test_the_snapshot_of_a_handover_is_decoded_and_encoded_unchanged() -> None:
    snapshot = msgspec.msgpack.decode(SNAPSHOT, type=Snapshot)
    assert (snapshot.overrides, snapshot.endpoints, snapshot.job_ids) == (
        OVERRIDES,
        ENDPOINT_LIST,
        ["a1", "a2"],
    )
    assert (snapshot.downstream_connections, snapshot.upstream_connections) == (5, 6)
    assert msgspec.msgpack.encode(snapshot) == SNAPSHOT


def test_the_statistics_of_a_handover_are_restored() -> None:
    statistics = msgspec.msgpack.decode(SNAPSHOT, type=Snapshot).statistics
    driver = DispatcherDriver(listed=entries(4), seed=2)
    restore(driver, statistics)
    restored = driver.dispatcher._endpoints.by_name
    assert set(restored) == set(statistics.endpoints)
    for name, written in statistics.endpoints.items():
        assert restored[name].capacity == written.capacity
        assert restored[name].consecutive_faults == written.consecutive_faults
        assert set(restored[name].cached_keys) == set(written.cached_key_ages)
