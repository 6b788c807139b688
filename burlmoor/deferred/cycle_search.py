"""Detects whether a new job would close a cycle of dependencies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from burlmoor.deferred.deferred_job import DeferredJob


def would_close_cycle(
    request_id: str,
    dependencies: Sequence[str],
    jobs: Mapping[str, DeferredJob],
    dependents: Mapping[str, Mapping[str, DeferredJob]],
) -> bool:
    """Return whether one of `dependencies` depends, directly or not, on the job `request_id`.

    `jobs` are the deferred jobs by id; `dependents` are, by id, the deferred jobs that depend on it. The
    search is bidirectional, up from the dependencies and down from the dependents, and ends when either side
    is exhausted. So it is trivial for a job without dependents or without deferred dependencies.
    """
    if request_id in dependencies:
        return True
    if request_id not in dependents:
        return False
    upward, downward = list(dependencies), list(dependents[request_id])
    above, below = set(upward), set(downward)
    while upward and downward:
        ancestor = upward.pop()
        if ancestor in below or ancestor == request_id:
            return True
        deferred = jobs.get(ancestor)
        if deferred is not None:
            _visit(deferred.unmet_dependencies, above, upward)
        descendant = downward.pop()
        if descendant in above:
            return True
        _visit(dependents.get(descendant, ()), below, downward)
    return bool(above & below)


def _visit(ids: Iterable[str], visited: set[str], pending: list[str]) -> None:
    """Add the ids that were not visited yet to both collections."""
    found = set(ids) - visited
    visited |= found
    pending.extend(found)
