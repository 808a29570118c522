"""Routing: which instance runs a statement, with which proof of freshness, and what a failure means."""
