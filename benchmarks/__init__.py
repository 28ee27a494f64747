"""Benchmarks of daemons as processes on loopback, and simulations; most modules are commands."""
