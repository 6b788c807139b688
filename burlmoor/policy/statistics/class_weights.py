"""Class weights: how much a unit of each class's priority weight adds to the operators' objective.

The objective is a weighted sum of two terms: the fraction of all priority weight that is served in time, and
that fraction for the worst-served class. A job adds to the first term by its share of all weight. It adds to
the second only if its class is the worst, but then by its share of that class's weight, which is larger.
Which class is the worst is known only roughly, so a softmin treats each class as the worst to a degree that
grows as its served fraction falls. The weights then change smoothly and don't oscillate.

Priority weights are in arbitrary units, times in ms.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.policy.model.decayed_mean import DecayedMean

if TYPE_CHECKING:
    from burlmoor.types.settings import ObjectiveWeights

CLASS_WEIGHT_HALF_LIFE_MS = 60_000.0  # long, since the objective covers days and one node sees few jobs
PRIOR_JOBS = 5.0  # each class starts as if this many of its jobs had been served
SOFTMIN_SCALE = 0.1  # a served fraction lower by this much makes a class e times as likely to be the worst
RECOMPUTE_INTERVAL_MS = 200.0
MIN_CLASS_FRACTION = 0.02  # of all priority weight; a class with less is treated as having this much


class ClassWeights:
    """Tracks the priority weight requested and served in time by class, and derives the class weights."""

    def __init__(self, objective: ObjectiveWeights) -> None:
        self._objective = objective
        self.requested: dict[str, DecayedMean] = {}  # `total` is priority weight, `weight` counts jobs
        self.served: dict[str, DecayedMean] = {}
        self._weights: dict[str, float] = {}
        self._recompute_at = -math.inf

    def record_request(self, class_name: str, priority_weight: float, now: float) -> None:
        """Add the priority weight of a job that has arrived."""
        mean = self.requested.setdefault(class_name, DecayedMean())
        mean.add(now, priority_weight, CLASS_WEIGHT_HALF_LIFE_MS)

    def record_served(self, class_name: str, priority_weight: float, now: float) -> None:
        """Add the priority weight of a job that was served, or the part of it that a late answer is worth."""
        mean = self.served.setdefault(class_name, DecayedMean())
        mean.add(now, priority_weight, CLASS_WEIGHT_HALF_LIFE_MS)

    def weight(self, class_name: str, now: float) -> float:
        """Return the class's weight; 1 for a class without jobs, or if all classes are served alike."""
        if now >= self._recompute_at:
            self._recompute_at = now + RECOMPUTE_INTERVAL_MS
            self._weights = self._compute_weights(now)
        return self._weights.get(class_name, 1.0)

    def _compute_weights(self, now: float) -> dict[str, float]:
        objective_total = self._objective.overall + self._objective.worst_class
        # Decayed to the same time, so that they are comparable.
        requested = {
            name: mean.decayed_total(now, CLASS_WEIGHT_HALF_LIFE_MS) for name, mean in self.requested.items()
        }
        total = sum(requested.values())
        if objective_total <= 0.0 or total <= 0.0:
            return {}
        fractions = {name: self._served_fraction(name, weight, now) for name, weight in requested.items()}
        worst = min(fractions.values())
        softmin_terms = {
            name: math.exp((worst - served) / SOFTMIN_SCALE) for name, served in fractions.items()
        }
        softmin_total = sum(softmin_terms.values())
        weights = {}
        for name, term in softmin_terms.items():
            class_fraction = max(MIN_CLASS_FRACTION, requested[name] / total)
            as_worst = self._objective.worst_class * term / softmin_total / class_fraction
            weights[name] = (self._objective.overall + as_worst) / objective_total
        return weights

    def _served_fraction(self, class_name: str, requested_weight: float, now: float) -> float:
        """Return the fraction of a class's priority weight that was served; near 1 while it has few jobs."""
        mean = self.served.get(class_name)
        served = mean.decayed_total(now, CLASS_WEIGHT_HALF_LIFE_MS) if mean is not None else 0.0
        requested = self.requested[class_name]
        prior = PRIOR_JOBS * requested.total / requested.weight
        return (served + prior) / (requested_weight + prior)
