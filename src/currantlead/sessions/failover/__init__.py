"""Failover: replacement of primaries."""
