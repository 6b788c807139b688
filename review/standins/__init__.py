"""Small stand-ins for clients, executors and discovery, shared by the cases of the review.

They use only the standard library, loopback addresses and the real clock, and follow the protocol page.
"""
