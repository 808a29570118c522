"""Connections to endpoint instances, and the execution of statements on them."""
