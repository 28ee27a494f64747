"""The kernel: plug-ins, life cycle, clocks, events, outcomes, checks, logs and metrics."""
