"""Draws a run: executors by second, spread over time with the troubles marked, the worst second."""

from __future__ import annotations

from pathlib import Path

import matplotlib as mpl
import numpy as np

mpl.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from burlmoor.testbed.fleet.baselines import play
from burlmoor.testbed.fleet.metrics import SETTLED, SLICE, Grid, variation
from burlmoor.testbed.fleet.record import Record


def draw(record: Record, path: Path) -> None:
    """Write the picture of a run to `path`; its suffix tells the format."""
    names = record.names()
    grid = Grid([record.specs[n] for n in names], names, record.begin, record.plan.seconds, record.spans)
    load = np.where(grid.up, grid.held(record.ran) / grid.able, np.nan) / 1000.0
    figure, (map_, lines, worst) = plt.subplots(3, 1, figsize=(11, 12), layout="constrained")
    image = map_.imshow(
        load.T, aspect="auto", origin="lower", interpolation="nearest", cmap="viridis",
        extent=(0.0, record.plan.seconds, -0.5, len(names) - 0.5), vmax=float(np.nanquantile(load, 0.995)),
    )  # fmt: skip
    figure.colorbar(image, ax=map_, label="work in hand, s")
    map_.set(title="each executor's work in hand over what it can do (white: away)", ylabel="executor")
    at = np.arange(grid.count) * SLICE / 1000.0
    cv, _ = variation(grid, record.ran)
    lines.plot(at, cv, label="burlmoor", color="black", linewidth=1.2)
    for way, colour in (("shortest", "tab:green"), ("least of two", "tab:orange"), ("random", "tab:red")):
        asked_rows = play(record, way)[1]
        lines.plot(at, variation(grid, asked_rows)[0], label=way, color=colour, linewidth=0.7)
    lines.set(title="coefficient of variation of work in hand over capacity", xlabel="s", ylim=(0.0, None))
    lines.legend(loc="upper right")
    for trouble in record.plan.schedule.troubles:
        for axis in (map_, lines):
            axis.axvspan(trouble.at, trouble.until, color="red", alpha=0.08)
        lines.text(trouble.at, 0.02, trouble.what, rotation=90, fontsize=7, color="darkred")
    _worst(record, grid, load, cv, worst)
    figure.savefig(path)
    plt.close(figure)


def _worst(record: Record, grid: Grid, load: np.ndarray, cv: np.ndarray, axis: Axes) -> None:
    """The second after the settling in which load was least even, executor by executor."""
    per_second = int(1000.0 / SLICE)
    skip = int(SETTLED * per_second)
    smooth = np.convolve(cv, np.ones(per_second) / per_second, mode="valid")
    begin = skip + int(np.argmax(smooth[skip:])) if len(smooth) > skip else 0
    held = np.nan_to_num(load[begin : begin + per_second]).mean(axis=0)
    order = np.argsort(-held)
    names = record.names()
    axis.bar(range(len(names)), held[order])
    axis.set(
        title=f"the worst second, from {begin / per_second:.1f} s on: work in hand by executor",
        ylabel="s", xlabel=f"most: {', '.join(names[n] for n in order[:8])}",
    )  # fmt: skip
