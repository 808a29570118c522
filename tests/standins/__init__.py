"""Separate processes that stand in for the platform, the endpoints and the balancer."""
