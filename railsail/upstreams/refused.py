"""Log invalid records of replicas once each, because one may be written again and again."""

from railsail.core.logs import get_logger

# Bounds the names that are remembered. When there are more, all are forgotten, and logged again.
MOST_REFUSED = 1000


class RefusedRecords:
    """Log each invalid record once, until a valid one of the same name is received."""

    def __init__(self) -> None:
        self._told: dict[str, str] = {}

    def refused(self, name: str, reason: str) -> None:
        """Log that a record is invalid for ``reason``, unless it was already logged."""
        if self._told.get(name) == reason:
            return
        if len(self._told) >= MOST_REFUSED:
            self._told.clear()
        self._told[name] = reason
        get_logger().warning("invalid upstream record", name=name, reason=reason)

    def accepted(self, name: str) -> None:
        """Forget ``name``, whose record is now valid."""
        self._told.pop(name, None)
