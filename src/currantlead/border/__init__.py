"""Receive, validate and answer callers' requests over HTTP."""
