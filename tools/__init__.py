"""Tools for development: a local deployment, a demo, a bench and the capacity tables."""
