"""Tests with real processes: entry VMs, stand-ins and callers on the loopback address."""
