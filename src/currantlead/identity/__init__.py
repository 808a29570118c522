"""Identify organisations by their keys."""
