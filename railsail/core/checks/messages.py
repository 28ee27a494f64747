"""The finding: one fault in a setting, an object or a request."""

import enum
from collections.abc import Iterable

import msgspec


class Level(enum.StrEnum):
    """Say whether a finding stops the work."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """One fault with its place.

    ``id`` is stable (``railsail.E001``) and documented in ``docs/ref/checks.md``. ``place`` names
    the flag, or the object with field and column.
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
    """Return a finding that stops the work."""
    return Finding(Level.ERROR, finding_id, message, place, hint)


def warning(finding_id: str, message: str, place: str, hint: str = "") -> Finding:
    """Return a finding that is shown and otherwise ignored."""
    return Finding(Level.WARNING, finding_id, message, place, hint)


def render(findings: Iterable[Finding]) -> str:
    """Return all ``findings`` as text, one after the other."""
    return "\n".join(f"{finding.level}: {finding}" for finding in findings)
