"""The jobs of a run, drawn ahead from one seed, alike in every process that draws them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import numpy as np

from burlmoor.testbed.job_classes import JOB_CLASSES, JobClass

_SIGMA = 0.5  # of the logarithm of a job's work
_WIDTHS, _WIDTH_SHARES = (1, 2, 4), (0.8, 0.15, 0.05)


class Job(NamedTuple):
    """One job; `at` in seconds from the beginning, work in ms on one core of speed 1 for each slot."""

    number: int
    at: float
    kind: JobClass
    work: float
    slots: int
    key: str
    node: int


class Load(msgspec.Struct, frozen=True):
    """What is asked of a fleet: an open loop, uneven over the nodes."""

    rate: float  # jobs a second
    seconds: float
    nodes: int
    seed: int
    scale: float = 1.0  # of the kinds' mean work
    skew: float = 0.5  # sigma of the logarithm of a node's share
    loud: float = 1.0  # how many times its share the first node gets
    hot: float = 0.0  # the share of all jobs that one key has
    keys: int = 0  # that jobs share, by Zipf's law; 0: each has its own, since stand-ins keep no data sets


def shares(load: Load) -> np.ndarray:
    """Each node's share of all jobs."""
    rng = np.random.default_rng([load.seed, 1])
    weights = rng.lognormal(0.0, load.skew, load.nodes)
    weights[0] *= load.loud
    return np.asarray(weights / weights.sum())


def draw(load: Load) -> list[Job]:
    """All jobs in order of time: a Poisson stream, work lognormal."""
    rng = np.random.default_rng([load.seed, 2])
    count = int(rng.poisson(load.rate * load.seconds))
    at = np.sort(rng.uniform(0.0, load.seconds, count))
    kinds = np.array([kind.share for kind in JOB_CLASSES])
    chosen = rng.choice(len(JOB_CLASSES), size=count, p=kinds / kinds.sum())
    spread = load.scale * rng.lognormal(-0.5 * _SIGMA**2, _SIGMA, count)
    widths = rng.choice(_WIDTHS, size=count, p=_WIDTH_SHARES)
    keys = np.minimum(rng.zipf(1.5, count), load.keys) if load.keys else np.arange(1, count + 1)
    keys[rng.uniform(size=count) < load.hot] = 0
    nodes = rng.choice(load.nodes, size=count, p=shares(load))
    return [
        Job(n, float(at[n]), JOB_CLASSES[chosen[n]], float(JOB_CLASSES[chosen[n]].mean_work_ms * spread[n]),
            int(widths[n]), f"k{keys[n]}", int(nodes[n]))
        for n in range(count)
    ]  # fmt: skip


def mean_cost() -> float:
    """Core-ms on a core of speed 1 that a job takes on average, at scale 1."""
    width = sum(w * s for w, s in zip(_WIDTHS, _WIDTH_SHARES, strict=True))
    return (
        width
        * sum(kind.share * kind.mean_work_ms for kind in JOB_CLASSES)
        / sum(kind.share for kind in JOB_CLASSES)
    )
