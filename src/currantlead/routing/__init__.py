"""Routing of requests to instances and to the VMs that hold connections to them."""
