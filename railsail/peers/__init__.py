"""Authenticated links between daemons, and the messages that they carry."""
