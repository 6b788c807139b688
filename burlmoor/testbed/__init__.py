"""Stand-in executors, discovery and clients for tests of nodes, written from the published protocol."""
