"""Adapter to the users' platform: its settings file, line protocol, stored objects and HTTP calls."""
