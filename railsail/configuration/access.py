"""Check of configurations of older builds for which routes need a key.

Builds below level ``KEYS`` decide that by the workspaces: where there are none, no route needs a
key, whatever its ``public`` says. What they send of such a configuration, or of the step from it to
the next one, does not say who is admitted, and would open or close routes here.
"""

from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Workspace


def check_access(before: Catalog, after: Catalog) -> None:
    """Raise ``ValueError`` if an older build's update does not say which routes need a key.

    The update leads from ``before``, which is an empty catalog for an update that has all objects,
    to ``after``.
    """
    is_known_before = not before.version or before.count(Workspace)
    if not (is_known_before and after.count(Workspace)):
        raise ValueError("an older build does not say which routes need a key without workspaces")
