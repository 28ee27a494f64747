"""Tickets and grants between the entries and the dispatchers of cells."""
