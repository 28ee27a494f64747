"""Model engines and plain services, each kind a plug-in."""
