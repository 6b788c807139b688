"""The stored form of an exponentially decayed mean."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burlmoor.policy.model.decayed_mean import DecayedMean

if TYPE_CHECKING:
    from collections.abc import Container, Mapping


class MeanSnapshot(NamedTuple):
    """A decayed mean; stored as an array of three numbers."""

    total: float
    weight: float
    age_ms: float


EMPTY_MEAN = MeanSnapshot(0.0, 0.0, 0.0)


def snapshot_mean(mean: DecayedMean, now: float) -> MeanSnapshot:
    """Return the snapshot of a mean."""
    return MeanSnapshot(mean.total, mean.weight, now - mean.updated_at)


def restore_mean(mean: DecayedMean, snapshot: MeanSnapshot, now: float) -> None:
    """Restore a mean from a snapshot."""
    mean.total = snapshot.total
    mean.weight = snapshot.weight
    mean.updated_at = now - snapshot.age_ms


def snapshot_means(means: Mapping[str, DecayedMean], now: float) -> dict[str, MeanSnapshot]:
    """Return the snapshots of means by name."""
    return {name: snapshot_mean(mean, now) for name, mean in means.items()}


def restore_means(
    means: dict[str, DecayedMean],
    snapshots: Mapping[str, MeanSnapshot],
    now: float,
    allowed: Container[str] | None = None,
) -> None:
    """Restore means by name; with `allowed`, only the names it contains."""
    for name, snapshot in snapshots.items():
        if allowed is None or name in allowed:
            restore_mean(means.setdefault(name, DecayedMean()), snapshot, now)
