"""The executors' side: the connection pool, the attempts sent over it, and their cancellation."""
