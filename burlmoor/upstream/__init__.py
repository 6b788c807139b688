"""The executors' side: the connection pool and the attempts that it carries."""
