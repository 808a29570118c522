"""Parse and run operators' commands."""
