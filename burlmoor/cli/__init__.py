"""The `burlmoor` command; the node itself imports none of it."""
