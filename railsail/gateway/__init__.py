"""The native HTTP interface for callers."""
