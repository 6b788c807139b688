"""Stand-ins for what a node meets: executors, discovery and clients, from the published protocol."""
