"""The `burlmoor` command. The node itself does not import this package."""
