"""Tests of ``railsail.streams``."""
