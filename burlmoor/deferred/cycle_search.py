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

    `jobs` maps ids to deferred jobs; `dependents` maps the id of a job to the deferred jobs that depend on
    it, by id. The search is bidirectional, up from the dependencies and down from the dependents, and ends
    when either side is exhausted. So it ends early for a job without dependents or deferred dependencies.
    """
    if request_id in dependencies:
        return True
    if request_id not in dependents:
        return False
    pending_ancestors, pending_descendants = list(dependencies), list(dependents[request_id])
    ancestors, descendants = set(pending_ancestors), set(pending_descendants)
    while pending_ancestors and pending_descendants:
        ancestor = pending_ancestors.pop()
        if ancestor in descendants or ancestor == request_id:
            return True
        ancestor_job = jobs.get(ancestor)
        if ancestor_job is not None:
            _add_unvisited(ancestor_job.unmet_dependencies, ancestors, pending_ancestors)
        descendant = pending_descendants.pop()
        if descendant in ancestors:
            return True
        _add_unvisited(dependents.get(descendant, ()), descendants, pending_descendants)
    return bool(ancestors & descendants)


def _add_unvisited(ids: Iterable[str], visited: set[str], pending: list[str]) -> None:
    """Add the ids that are not in `visited` to both collections."""
    unvisited = set(ids) - visited
    visited |= unvisited
    pending.extend(unvisited)
