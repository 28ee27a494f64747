"""Versions of a store that may come back from an older copy.

A store gives each change a revision. When it comes back from a copy, revisions go back and are
given out again, and it tells by a number, its era, that this has happened. A version joins both, so
that all that is read in a later era is newer than all that was read before, on every node and in
every message: records merge by versions, and an older one loses.
"""

# Bits of a version that hold the revision: 35 years at a thousand changes a second.
REVISION_BITS = 40
_REVISIONS = 1 << REVISION_BITS


def to_version(era: int, revision: int) -> int:
    """Return the version of ``revision`` in ``era``; eras count from 0."""
    return era * _REVISIONS + revision


def era_of(version: int) -> int:
    """Return the era in which ``version`` was given."""
    return version // _REVISIONS


def revision_of(version: int) -> int:
    """Return the store's own revision of ``version``."""
    return version % _REVISIONS
