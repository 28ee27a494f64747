"""Output of results as a table or as JSON."""

import json
import sys
from collections.abc import Sequence

from railsail.core.clock import stamp_moment


def show(rows: Sequence[dict[str, object]], columns: Sequence[str], output: str) -> None:
    """Print ``rows`` as a table with ``columns``, or as JSON with all keys (``output="json"``)."""
    if output == "json":
        print(json.dumps(list(rows), indent=2))
        return
    cells = [[_text(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in [list(columns), *cells]) for i in range(len(columns))]
    for line in [[column.upper() for column in columns], *cells]:
        padded = [text.ljust(width) for text, width in zip(line, widths, strict=True)]
        print("  ".join(padded).rstrip())


def _text(value: object) -> str:
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    return str(value)


def show_stamp(stamp: int) -> str:
    """Return the time of day of a hybrid ``stamp``, to the millisecond."""
    return stamp_moment(stamp).strftime("%H:%M:%S.%f")[:-3]


def print_to_stderr(text: str) -> None:
    """Print ``text`` to standard error."""
    print(text, file=sys.stderr)
