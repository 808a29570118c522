"""Membership: the VMs of the system and which of them respond."""
