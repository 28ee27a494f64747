"""Tests of railsail; the packages mirror those of the product."""

from hypothesis import HealthCheck, settings

# How fast examples are generated or run depends on the load of the machine.
settings.register_profile("any-load", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("any-load")
