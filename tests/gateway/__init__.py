"""Tests of the callers' native interface."""
