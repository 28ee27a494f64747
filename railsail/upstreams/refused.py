"""Records that cannot be read, told of once each: others may write one again and again."""

from railsail.core.logs import get_logger

# Names that are remembered; all are forgotten, and told of once more, when there are more.
MOST_REFUSED = 1000


class RefusedRecords:
    """Tell once of each record that is refused, until a good one of its name comes."""

    def __init__(self) -> None:
        self._told: dict[str, str] = {}

    def refused(self, name: str, reason: str) -> None:
        """Take note that a record was refused for ``reason``."""
        if self._told.get(name) == reason:
            return
        if len(self._told) >= MOST_REFUSED:
            self._told.clear()
        self._told[name] = reason
        get_logger().warning("upstream record refused", name=name, reason=reason)

    def accepted(self, name: str) -> None:
        """Take note that the record of ``name`` was good."""
        self._told.pop(name, None)
