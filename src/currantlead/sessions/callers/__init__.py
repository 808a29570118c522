"""Callers: their sessions, keys and rate limits."""
