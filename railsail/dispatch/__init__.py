"""Dispatch of requests to replicas: tickets and grants between entries and cell dispatchers."""
