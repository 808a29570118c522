"""Stand-ins for the external systems (platform, endpoints, load balancer) and fakes for internal interfaces."""
