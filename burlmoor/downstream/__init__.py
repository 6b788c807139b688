"""The HTTP server that clients submit jobs to and executors send call-backs to."""
