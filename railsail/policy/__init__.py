"""Compilation and evaluation of the CEL programs of policies."""
