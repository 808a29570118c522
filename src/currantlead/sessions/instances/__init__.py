"""Instances: their state, connections to them, and the VMs that hold connections for others."""
