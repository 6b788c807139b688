"""What a decision module has learnt, in a form that another process of the same node can go on from.

Nothing here decides: it copies the figures out of one `Dispatcher` and into another. Jobs stay.
Times are given as ages, since each process has a clock of its own.
"""

from __future__ import annotations

import msgspec

from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.stats.decayed_mean import DecayedMean
from burlmoor.stats.endpoint import Endpoint

Figure = tuple[float, float, float]  # of a mean: its total, its weight and its age


class EndpointSnapshot(msgspec.Struct):
    """What is known of one executor."""

    room: float
    faults: int
    heard: float
    test_in: float
    cold: tuple[float, float]  # what may be sent while it is cold, and the age of that figure
    slow: Figure
    clean: Figure
    delay: Figure
    cells: dict[int, Figure]
    keys: dict[str, float]
    value: Figure = (0.0, 0.0, 0.0)


class StatisticsSnapshot(msgspec.Struct):
    """All that a module has learnt."""

    workers: dict[str, EndpointSnapshot] = {}
    means: dict[str, Figure] = {}
    kind_slow: dict[str, Figure] = {}
    usual_delay: list[tuple[str, str, Figure]] = []
    prompt: dict[str, float] = {}
    sent_by: dict[str, Figure] = {}
    class_work: dict[str, Figure] = {}
    full_patience: dict[str, float] = {}
    mean_worth: Figure = (0.0, 0.0, 0.0)
    top_worth: float = 0.0
    kind_value: dict[str, Figure] = {}
    off: dict[str, tuple[Figure, Figure]] = {}  # by class, and of its square
    asked: dict[str, Figure] = {}
    served: dict[str, Figure] = {}


_MEANS = ("fleet_slow", "fleet_clean", "promptness", "hit", "miss", "mean_work", "mean_run", "fleet_value")


def _figure(mean: DecayedMean, now: float) -> Figure:
    return mean.total, mean.weight, now - mean.updated_at


def _fill(mean: DecayedMean, given: Figure, now: float) -> None:
    mean.total, mean.weight, age = given
    mean.updated_at = now - age


def take_snapshot(node: Dispatcher, now: float) -> StatisticsSnapshot:
    """All that `node` has learnt by now."""
    book = node.book
    return StatisticsSnapshot(
        workers={worker.id: _worker(worker, now) for worker in node.members.workers.values()},
        means={name: _figure(getattr(book, name), now) for name in _MEANS},
        kind_slow={kind: _figure(mean, now) for kind, mean in book.kind_slow.items()},
        usual_delay=[(*place, _figure(mean, now)) for place, mean in book.usual_delay.items()],
        prompt=dict(book.prompt),
        sent_by={name: _figure(mean, now) for name, mean in node.sent_by.items()},
        class_work={name: _figure(mean, now) for name, mean in node.class_work.items()},
        full_patience=dict(node.full_patience),
        mean_worth=_figure(node.mean_worth, now),
        top_worth=node.top_worth,
        kind_value={kind: _figure(mean, now) for kind, mean in book.kind_value.items()},
        off={
            name: (_figure(book.off[name], now), _figure(book.off_square[name], now))
            for name in list(book.off)
        },
        asked={name: _figure(mean, now) for name, mean in node.standings.requested.items()},
        served={name: _figure(mean, now) for name, mean in node.standings.served.items()},
    )


def _worker(worker: Endpoint, now: float) -> EndpointSnapshot:
    return EndpointSnapshot(
        room=worker.room,
        faults=worker.faults,
        heard=now - worker.heard,
        test_in=worker.test_at - now,
        cold=(worker.credit, now - worker.credit_at),
        slow=_figure(worker.slow, now),
        clean=_figure(worker.clean, now),
        delay=_figure(worker.delay, now),
        cells={band: _figure(mean, now) for band, mean in worker.cells.items()},
        keys={key: now - at for key, at in worker.keys.items()},
        value=_figure(worker.value, now),
    )


def restore_snapshot(node: Dispatcher, given: StatisticsSnapshot, now: float) -> None:
    """Have `node` go on from what another has learnt. Executors that it doesn't list are left out."""
    book = node.book
    for name in _MEANS:
        if name in given.means:
            _fill(getattr(book, name), given.means[name], now)
    for kind, figure in given.kind_slow.items():
        _fill(book.kind_slow[kind], figure, now)
    for kind, figure in given.kind_value.items():
        _fill(book.kind_value[kind], figure, now)
    for name in node.classes.keys() & given.off.keys():
        _fill(book.off[name], given.off[name][0], now)
        _fill(book.off_square[name], given.off[name][1], now)
    for means, figures in ((node.standings.requested, given.asked), (node.standings.served, given.served)):
        for name in node.classes.keys() & figures.keys():
            _fill(means.setdefault(name, DecayedMean()), figures[name], now)
    for zone, kind, figure in given.usual_delay:
        _fill(book.usual_delay[zone, kind], figure, now)
    book.prompt.update(given.prompt)
    for tenant, figure in given.sent_by.items():
        if tenant in node.quotas or not tenant:
            _fill(node.sent_by[tenant], figure, now)
    for name in node.classes.keys() & given.class_work.keys():
        _fill(node.class_work[name], given.class_work[name], now)
    for name in node.classes.keys() & given.full_patience.keys():
        node.full_patience[name] = given.full_patience[name]
    _fill(node.mean_worth, given.mean_worth, now)
    node.top_worth = max(node.top_worth, given.top_worth)
    for name, told_of in given.workers.items():
        if name in node.members.workers:
            _fill_worker(node.members.workers[name], told_of, now)


def _fill_worker(worker: Endpoint, given: EndpointSnapshot, now: float) -> None:
    worker.room, worker.faults = given.room, given.faults
    worker.heard, worker.test_at = now - given.heard, now + given.test_in
    worker.credit, age = given.cold
    worker.credit_at = now - age
    _fill(worker.slow, given.slow, now)
    _fill(worker.clean, given.clean, now)
    _fill(worker.delay, given.delay, now)
    _fill(worker.value, given.value, now)
    for band, figure in given.cells.items():
        _fill(worker.cells[band], figure, now)
    worker.keys = {key: now - age for key, age in given.keys.items()}
