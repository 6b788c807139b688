"""The clients' side: the HTTP server, its connections, and call-backs from executors."""
