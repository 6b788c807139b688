"""The view of the fleet that nodes keep by talking to each other: what is known, its wire form, its life.

Nothing of the node imports this yet: it becomes `[membership]` of the options once it has a driver.
"""
