"""A router fleet in which workspaces share model and service capacity fairly."""

__version__ = "0.1.0"
