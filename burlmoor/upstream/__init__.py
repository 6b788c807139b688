"""The node's client side: connections to executors, and sending and cancelling attempts over them."""
