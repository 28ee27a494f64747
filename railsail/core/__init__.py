"""The kernel: plug-ins, lifecycle, clocks, events, outcomes, checks, logs and metrics."""
