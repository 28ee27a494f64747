"""The settings of a daemon, read from flags, environment variables and a file."""
