"""Settings of a daemon, read from flags and environment variables."""
