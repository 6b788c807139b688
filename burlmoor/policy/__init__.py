"""The decisions of one node: admission, dispatch rounds, endpoint selection, retries and hedging."""
