"""Stand-ins for the platform and upstreams, used by tests, benchmarks and the demonstration."""
