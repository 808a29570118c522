"""Exchange of msgpack frames between VMs over TCP streams."""
