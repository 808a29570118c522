"""Exchange msgpack frames with other VMs."""
