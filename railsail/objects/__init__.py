"""The configuration objects that operators write, and their checks."""
