"""Scheduling decisions: who is served next, and on which replica. Nothing here does I/O."""
