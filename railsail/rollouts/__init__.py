"""Rollouts: a service moves to a new version of its software, or back if that version is bad."""
