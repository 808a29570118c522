"""Control plane: configuration, membership, leases and the failover of database groups."""
