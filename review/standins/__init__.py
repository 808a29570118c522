"""Small stand-ins for the platform, the instances and the clients, used by the scripts of the review."""
