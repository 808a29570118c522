"""Identification of organisations by their keys."""
