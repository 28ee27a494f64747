"""Small stand-ins of the platform and of upstreams, for tests, benchmarks and the demonstration."""
