"""The half-life of evidence on endpoints and demand, and the weight of priors."""

EVIDENCE_HALF_LIFE_MS = 8000.0
KIND_PRIOR_WEIGHT = 2.0  # of a kind's figure as an endpoint's prior, and of the fleet's as a kind's
