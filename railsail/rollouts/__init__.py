"""Rollouts: moving a service to a new software version, or back if that version is bad."""
