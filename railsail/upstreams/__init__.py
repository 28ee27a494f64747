"""Clients of model engines and plain services; each kind of upstream is a plug-in."""
