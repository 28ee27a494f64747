"""Compile and evaluate the CEL programs of a policy."""
