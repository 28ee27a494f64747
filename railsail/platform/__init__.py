"""The adapter to the users' prepared platform: its names, formats and calls, and nothing else.

Importing this package registers a store client and a route protocol, both named ``prepared``. What
is read here is handed on as the product's own objects and messages; nothing is decided here.
"""

from railsail.platform import http, store

__all__ = ["http", "store"]
