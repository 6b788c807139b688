"""Statistics that a node measures of its endpoints and jobs, and snapshots of them."""
