"""Versions of objects in a store that may be restored from an older copy.

The store numbers its changes by revisions. A restore sets the revision back to that of the copy, so
that the same revisions are used again; the store reports by a number, its generation, how often
that has happened. A version combines the generation and the revision. All that was read after a
restore therefore has a higher version than all that was read before, on every node and in every
message, and wins where records are merged.
"""

# Bits of a version that hold the revision: 35 years at a thousand changes a second.
REVISION_BITS = 40
_REVISIONS = 1 << REVISION_BITS


def to_version(generation: int, revision: int) -> int:
    """Return the version of ``revision`` in a store ``generation``, counted from 0."""
    return generation * _REVISIONS + revision


def era_of(version: int) -> int:
    """Return the store generation of ``version``."""
    return version // _REVISIONS


def revision_of(version: int) -> int:
    """Return the revision of ``version`` within its store generation."""
    return version % _REVISIONS
