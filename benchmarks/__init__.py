"""Experiments on daemons as plain processes, on loopback; each module is a command."""
