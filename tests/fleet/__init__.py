"""Tests of whole fleets on stand-ins, under failure."""
