"""The adapter to the platform named ``prepared``: its names, formats and calls, and nothing else.

Importing this package registers a store client and a route protocol, both named ``prepared``. They
translate the platform's formats into railsail's own objects and messages, and make no decisions
about requests or replicas.
"""

from railsail.platform import http, store

__all__ = ["http", "store"]
