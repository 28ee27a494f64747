"""Log invalid records of the store once each, because one may be written again and again."""

from collections.abc import Callable

from railsail.core.logs import get_logger
from railsail.store.unreadable import MAX_REASON_CHARACTERS

# Bounds the names that are remembered. When there are more, all are forgotten, and logged again.
MAX_NAMES = 1000


class InvalidRecords:
    """A log of invalid records: one line each, until a valid one of the same name is received.

    ``kind`` is that of the records. ``count`` is called with it for each line.
    """

    def __init__(
        self, kind: str = "upstream", count: Callable[[str], None] = lambda kind: None
    ) -> None:
        self._kind = kind
        self._count = count
        self._logged: dict[str, str] = {}

    def reject(self, name: str, reason: str) -> None:
        """Log that a record is invalid for ``reason``, unless it was already logged."""
        reason = reason[:MAX_REASON_CHARACTERS]
        if self._logged.get(name) == reason:
            return
        if len(self._logged) >= MAX_NAMES:
            self._logged.clear()
        self._logged[name] = reason
        self._count(self._kind)
        get_logger().warning(f"invalid {self._kind} record", name=name, reason=reason)

    def accept(self, name: str) -> None:
        """Forget ``name``, whose record is now valid."""
        self._logged.pop(name, None)
