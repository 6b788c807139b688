"""What one more job served adds to the result, by its class: from the site's blend and from who is behind.

The result is a sum of parts: the share of all worth that is served, and the share of the worst-served
class. A job adds to the first by its part of all worth, and to the second only where its class is the
worst, but there by its part of that class's worth, which is more. Which class is the worst is known
only roughly, so each counts as the worst the more, the further it lies behind (a softmin): the weights
then move evenly and don't swing.

Decides nothing and knows no clock. Worth is in any unit, times are ms.
"""

from __future__ import annotations

import math

from burlmoor.stats.decayed_mean import DecayedMean
from burlmoor.types.settings import ObjectiveWeights

HALF = 60_000.0  # evidence halves in this time: the result counts whole days, and a node sees little of one
TRUST = 5.0  # jobs as good as served that each class starts with
LEEWAY = 0.1  # a class this far behind another is e times as likely to be the worst in the end
REVIEW = 200.0  # how often weights are worked out anew
LEAST = 0.02  # of all worth: a class that has less is not given more weight for it


class ClassWeights:
    """What was asked and what was served in time, by class, and the weights that follow from it."""

    def __init__(self, blend: ObjectiveWeights) -> None:
        self.blend = blend
        self.requested: dict[str, DecayedMean] = {}  # `total` is the worth, `weight` the number of jobs
        self.served: dict[str, DecayedMean] = {}
        self._weights: dict[str, float] = {}
        self._review_at = -math.inf

    def record_request(self, name: str, worth: float, now: float) -> None:
        """A job of this class has come, worth so much."""
        self.requested.setdefault(name, DecayedMean()).add(now, worth, HALF)

    def record_served(self, name: str, worth: float, now: float) -> None:
        """So much of a class's worth was served."""
        self.served.setdefault(name, DecayedMean()).add(now, worth, HALF)

    def weight(self, name: str, now: float) -> float:
        """What a unit of this class's worth adds, where one of a class like all others adds 1."""
        if now >= self._review_at:
            self._review_at = now + REVIEW
            self._weights = self._work_out(now)
        return self._weights.get(name, 1.0)

    def _work_out(self, now: float) -> dict[str, float]:
        parts = self.blend.overall + self.blend.worst_class
        # All of one age, so that they can be compared.
        asked = {name: mean.decayed_total(now, HALF) for name, mean in self.requested.items()}
        total = sum(asked.values())
        if parts <= 0.0 or total <= 0.0:
            return {}
        shares = {}
        for name, worth in asked.items():
            mean = self.served.get(name)
            served = mean.decayed_total(now, HALF) if mean is not None else 0.0
            prior = TRUST * self.requested[name].total / self.requested[name].weight
            shares[name] = (served + prior) / (worth + prior)
        worst = min(shares.values())
        claims = {name: math.exp((worst - share) / LEEWAY) for name, share in shares.items()}
        all_claims = sum(claims.values())
        weights = {}
        for name, claim in claims.items():
            part = max(LEAST, asked[name] / total)
            weights[name] = (self.blend.overall + self.blend.worst_class * claim / all_claims / part) / parts
        return weights
