"""How fast evidence on endpoints and demand loses its weight, and what a figure falls back to weighs."""

EVIDENCE_HALF_LIFE_MS = 8000.0
KIND_PRIOR_WEIGHT = 2.0  # of the kind's figure for an endpoint, and of the fleet's for a kind
