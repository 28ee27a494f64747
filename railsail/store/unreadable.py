"""Report objects of the store that cannot be read, because other programs may write anything."""

from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics

# Bounds the objects that are remembered. When there are more, all are forgotten, and logged again.
MAX_OBJECTS = 1000
# A reason may quote a value, which is as long as its writer wants.
MAX_REASON_CHARACTERS = 300


class UnreadableValue(dict):
    """The value of an object that could not be read and was reported: it has no fields."""


class UnreadableObjects:
    """The objects that a store client could not read.

    Each is logged and counted once, until its reason changes or it can be read again. A writer may
    repeat it several times a second.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._reasons: dict[tuple[str, str], str] = {}
        self._damaged: set[str] = set()

    def reject(self, kind: str, name: str, reason: str) -> None:
        """Report that an object cannot be read for ``reason``, unless that was reported."""
        reason = reason[:MAX_REASON_CHARACTERS]
        if self._reasons.get((kind, name)) == reason:
            return
        if len(self._reasons) >= MAX_OBJECTS:
            self._reasons.clear()
        self._reasons[(kind, name)] = reason
        self._metrics.unreadable_objects.inc({"kind": kind})
        get_logger().warning("stored object cannot be read", kind=kind, name=name, reason=reason)

    def accept(self, kind: str, name: str) -> None:
        """Forget an object that can be read, or that is gone."""
        self._reasons.pop((kind, name), None)

    def answer_damaged(self, kind: str, reason: str) -> None:
        """Report that objects of ``kind`` were recovered from an answer that is not valid JSON.

        It is logged once until ``listing_decoded``: one object makes each answer that has it so.
        """
        self._metrics.recovered_answers.inc({"kind": kind})
        if kind not in self._damaged:
            self._damaged.add(kind)
            get_logger().warning(
                "invalid answer of the store: recovering objects", kind=kind, reason=reason
            )

    def listing_decoded(self, kind: str) -> None:
        """Record that all objects of ``kind`` were listed in a valid answer."""
        self._damaged.discard(kind)
