"""The finding: one fault in a setting, an object or a request."""

import enum
from collections.abc import Iterable

import msgspec


class Level(enum.StrEnum):
    """The severity of a finding: an error prevents the operation, a warning doesn't."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """One fault and its place.

    ``id`` is stable (such as ``railsail.E001``) and documented in ``docs/ref/checks.md``. ``place``
    names the flag, or the object with its field and column.
    """

    level: Level
    id: str
    message: str
    place: str
    hint: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: ({self.id}) {self.message}"
        if self.hint:
            text += f"\n    hint: {self.hint}"
        return text


def error(finding_id: str, message: str, place: str, hint: str = "") -> Finding:
    """Return a finding that prevents the operation."""
    return Finding(Level.ERROR, finding_id, message, place, hint)


def warning(finding_id: str, message: str, place: str, hint: str = "") -> Finding:
    """Return a finding that is only shown."""
    return Finding(Level.WARNING, finding_id, message, place, hint)


def render(findings: Iterable[Finding]) -> str:
    """Return all ``findings`` as text, each starting on a line of its own."""
    return "\n".join(f"{finding.level}: {finding}" for finding in findings)
