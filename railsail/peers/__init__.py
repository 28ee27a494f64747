"""Authenticated links between daemons, and the messages sent over them."""
