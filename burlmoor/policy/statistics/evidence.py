"""The half-life of measurements of endpoints and demand, and the weight of priors."""

EVIDENCE_HALF_LIFE_MS = 8000.0
KIND_PRIOR_WEIGHT = 2.0  # of a kind's mean as the prior of an endpoint, and of the fleet's as that of a kind
