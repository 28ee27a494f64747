"""Tests of railsail; the packages mirror those of the product."""
