"""Development tools: local clusters, demos, benchmarks and capacity tables."""
