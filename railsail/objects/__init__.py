"""The objects that operators write, and their checks."""
