"""The client of the discovery service and the schedule of its calls."""
