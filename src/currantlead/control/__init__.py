"""Keep configuration, membership, leases and database groups up to date."""
