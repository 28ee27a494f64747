"""Requests that end the replicas that run them, and are kept from replicas for a while."""
