"""Everything that a node reads from files and the environment."""
