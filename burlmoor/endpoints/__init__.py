"""The endpoint list: its entries and addresses, slow-start budgets and key affinity."""
