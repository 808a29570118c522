"""Shared state: copies of the platform's stored objects and the client that reads them."""
