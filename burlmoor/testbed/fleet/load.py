"""The jobs of a run, drawn from a seed before it starts, so every process that draws them gets the same."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import numpy as np

from burlmoor.testbed.job_classes import JOB_CLASSES, JobClass

_WORK_SIGMA = 0.5  # of the logarithm of a job's work
_SLOT_COUNTS = (1, 2, 4)
_SLOT_FRACTIONS = (0.8, 0.15, 0.05)
_KEY_ZIPF_EXPONENT = 1.5


class Job(NamedTuple):
    """A job, and the node that its client sends it to first."""

    number: int
    start_seconds: float  # after the start of the load
    job_class: JobClass
    work_ms: float  # on one core of speed 1, for each slot
    slots: int
    key: str
    node: int


class Load(msgspec.Struct, frozen=True):
    """The parameters of an open-loop load that is distributed unevenly over the nodes."""

    rate: float  # jobs per second
    seconds: float
    nodes: int
    seed: int
    scale: float = 1.0  # multiplies the mean work of the job classes
    skew: float = 0.5  # sigma of the logarithm of a node's share
    # Multiplies the weight of the first node.
    first_node_factor: float = msgspec.field(default=1.0, name="loud")
    # The fraction of all jobs that share a single key.
    hot_key_fraction: float = msgspec.field(default=0.0, name="hot")
    # The number of keys, from which the other jobs' keys are drawn by Zipf's law. 0 gives each job its own
    # key, since the stand-in executors cache nothing.
    key_count: int = msgspec.field(default=0, name="keys")


def node_fractions(load: Load) -> np.ndarray:
    """Return each node's fraction of all jobs."""
    rng = np.random.default_rng([load.seed, 1])
    weights = rng.lognormal(0.0, load.skew, load.nodes)
    weights[0] *= load.first_node_factor
    return np.asarray(weights / weights.sum())


def draw_jobs(load: Load) -> list[Job]:
    """Return all jobs in the order of their start: a Poisson process, with lognormally distributed work."""
    # The order of the draws must stay: another order gives another load for the same seed.
    rng = np.random.default_rng([load.seed, 2])
    count = int(rng.poisson(load.rate * load.seconds))
    starts = np.sort(rng.uniform(0.0, load.seconds, count))
    class_fractions = np.array([job_class.fraction for job_class in JOB_CLASSES])
    classes = rng.choice(len(JOB_CLASSES), size=count, p=class_fractions / class_fractions.sum())
    work_factors = load.scale * rng.lognormal(-0.5 * _WORK_SIGMA**2, _WORK_SIGMA, count)
    slots = rng.choice(_SLOT_COUNTS, size=count, p=_SLOT_FRACTIONS)
    keys = _draw_keys(rng, load, count)
    nodes = rng.choice(load.nodes, size=count, p=node_fractions(load))
    jobs = []
    for number in range(count):
        job_class = JOB_CLASSES[classes[number]]
        job = Job(
            number=number,
            start_seconds=float(starts[number]),
            job_class=job_class,
            work_ms=float(job_class.mean_work_ms * work_factors[number]),
            slots=int(slots[number]),
            key=f"k{keys[number]}",
            node=int(nodes[number]),
        )
        jobs.append(job)
    return jobs


def _draw_keys(rng: np.random.Generator, load: Load, count: int) -> np.ndarray:
    if load.key_count:
        keys = np.minimum(rng.zipf(_KEY_ZIPF_EXPONENT, count), load.key_count)
    else:
        keys = np.arange(1, count + 1)
    keys[rng.uniform(size=count) < load.hot_key_fraction] = 0
    return keys


def mean_job_work_ms() -> float:
    """Return the mean work of a job over all its slots at scale 1, in ms on one core of speed 1."""
    mean_slots = sum(slots * fraction for slots, fraction in zip(_SLOT_COUNTS, _SLOT_FRACTIONS, strict=True))
    return (
        mean_slots
        * sum(job_class.fraction * job_class.mean_work_ms for job_class in JOB_CLASSES)
        / sum(job_class.fraction for job_class in JOB_CLASSES)
    )
