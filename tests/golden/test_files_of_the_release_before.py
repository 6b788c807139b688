"""Files and messages that the code of 890869d has written are read by this code, and written identically.

`n1.by-hand` is an overrides file; `snapshot.msgpack` is the message that that code sends to a
process that takes over.
"""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from burlmoor.admin.overrides import OverridesFile
from burlmoor.lifecycle.handover_messages import Snapshot
from tests.golden.test_encodings import LISTED, OVERRIDES
from tests.policy.statistics.test_snapshot import restore
from tests.support.dispatcher_driver import DispatcherDriver, entries

if TYPE_CHECKING:
    from burlmoor.log_events import LogEvent

DATA = Path(__file__).parent / "data" / "890869d"
SNAPSHOT = (DATA / "snapshot.msgpack").read_bytes()


def test_the_overrides_file_is_loaded_and_saved_alike(tmp_path: Path) -> None:
    path = tmp_path / "n1.by-hand"
    shutil.copy(DATA / path.name, path)
    logged: list[LogEvent] = []
    file = OverridesFile(path, logged.append)
    loaded = file.load()
    assert loaded == OVERRIDES
    file.save(loaded)
    assert path.read_bytes() == (DATA / path.name).read_bytes()
    assert logged == []


def test_the_snapshot_of_a_handover_is_decoded_and_encoded_alike() -> None:
    snapshot = msgspec.msgpack.decode(SNAPSHOT, type=Snapshot)
    assert (snapshot.overrides, snapshot.endpoints, snapshot.job_ids) == (OVERRIDES, LISTED, ["a1", "a2"])
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
