"""Hold connections to endpoint databases and run statements on them."""
