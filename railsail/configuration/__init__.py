"""Committing configurations to the store, and distributing them to all daemons."""
