"""Commit a configuration, and carry it to every daemon."""
