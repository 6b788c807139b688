"""What a node has measured of its endpoints and of its jobs, and the snapshot of it."""
