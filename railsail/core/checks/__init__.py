"""Findings: faults with an id, a message, a place and a hint, collected and shown together."""

from railsail.core.checks.messages import Finding, Level, error, render, warning

__all__ = ["Finding", "Level", "error", "render", "warning"]
