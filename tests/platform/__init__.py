"""Tests of the adapter to the prepared platform."""
