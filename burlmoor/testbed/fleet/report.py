"""Plots a run: the load over time, its evenness compared with the baselines, and the least even second."""

from __future__ import annotations

import matplotlib as mpl
import numpy as np

mpl.use("Agg")
from typing import TYPE_CHECKING

from matplotlib import pyplot as plt

from burlmoor.testbed.fleet.baselines import replay_baseline
from burlmoor.testbed.fleet.load_grid import (
    SETTLING_SLICES,
    SLICE_MS,
    SLICES_PER_SECOND,
    LoadGrid,
    measure_evenness,
    smooth_over_a_second,
)

if TYPE_CHECKING:
    from pathlib import Path

    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

    from burlmoor.testbed.fleet.record import RunRecord

_BASELINE_COLORS = {"shortest": "tab:green", "least of two": "tab:orange", "random": "tab:red"}
_LABELLED_EXECUTOR_COUNT = 8  # the executors with the highest load are named in the last plot


def plot_report(record: RunRecord, path: Path) -> None:
    """Write the plots of a run to an image file, whose format is given by the suffix of `path`."""
    grid = LoadGrid.from_record(record)
    load_seconds = grid.relative_load(record.attempts) / 1000.0
    variation = measure_evenness(grid, record.attempts).variation
    figure, (load_axes, variation_axes, worst_axes) = plt.subplots(
        3, 1, figsize=(11, 12), layout="constrained"
    )
    _plot_load(figure, load_axes, record, load_seconds)
    _plot_variation(variation_axes, record, grid, variation)
    for fault in record.plan.schedule.faults:
        for axes in (load_axes, variation_axes):
            axes.axvspan(fault.start, fault.end, color="red", alpha=0.08)
        variation_axes.text(fault.start, 0.02, fault.kind, rotation=90, fontsize=7, color="darkred")
    _plot_least_even_second(worst_axes, record, load_seconds, variation)
    figure.savefig(path)
    plt.close(figure)


def _plot_load(figure: Figure, axes: Axes, record: RunRecord, load_seconds: np.ndarray) -> None:
    """Plot each executor's load over time as a heat map."""
    image = axes.imshow(
        load_seconds.T,
        aspect="auto",
        origin="lower",
        interpolation="nearest",
        cmap="viridis",
        extent=(0.0, record.plan.seconds, -0.5, len(record.specs) - 0.5),
        vmax=float(np.nanquantile(load_seconds, 0.995)),
    )
    figure.colorbar(image, ax=axes, label="outstanding work, s")
    axes.set(title="each executor's outstanding work / capacity (white: unavailable)", ylabel="executor")


def _plot_variation(axes: Axes, record: RunRecord, grid: LoadGrid, variation: np.ndarray) -> None:
    """Plot the coefficient of variation over time, together with that of the baselines."""
    seconds = np.arange(grid.slice_count) * SLICE_MS / 1000.0
    axes.plot(seconds, variation, label="burlmoor", color="black", linewidth=1.2)
    for name, color in _BASELINE_COLORS.items():
        attempts = replay_baseline(record, name).attempts
        axes.plot(seconds, measure_evenness(grid, attempts).variation, label=name, color=color, linewidth=0.7)
    axes.set(title="coefficient of variation of outstanding work / capacity", xlabel="s", ylim=(0.0, None))
    axes.legend(loc="upper right")


def _plot_least_even_second(
    axes: Axes, record: RunRecord, load_seconds: np.ndarray, variation: np.ndarray
) -> None:
    """Plot each executor's load in the least even second after the settling time."""
    smooth = smooth_over_a_second(variation, "valid")
    first_slice = 0
    if len(smooth) > SETTLING_SLICES:
        first_slice = SETTLING_SLICES + int(np.argmax(smooth[SETTLING_SLICES:]))
    load = np.nan_to_num(load_seconds[first_slice : first_slice + SLICES_PER_SECOND]).mean(axis=0)
    order = np.argsort(-load)
    names = record.executor_names()
    axes.bar(range(len(names)), load[order])
    axes.set(
        title=f"least even second, from {first_slice / SLICES_PER_SECOND:.1f} s: executors' outstanding work",
        ylabel="s",
        xlabel=f"highest load: {', '.join(names[number] for number in order[:_LABELLED_EXECUTOR_COUNT])}",
    )
