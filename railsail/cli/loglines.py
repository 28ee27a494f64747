"""Parsing of the log lines of daemons, as log collectors deliver them."""

import fileinput
from collections.abc import Iterator

import msgspec

from railsail.core.clock import stamp_seconds

_NOT_FACTS = frozenset({"event", "node", "request", "level", "timestamp", "stamp"})


class LogLine(msgspec.Struct, frozen=True):
    """One log line; ``facts`` holds the keys beyond those that every line has."""

    event: str
    node: str
    stamp: int
    request: str
    facts: dict[str, object]

    @property
    def seconds(self) -> float:
        """Return the time of the event, in seconds since the Unix epoch."""
        return stamp_seconds(self.stamp)


def read_lines(files: list[str]) -> Iterator[LogLine]:
    """Yield the events in ``files``, or on standard input, and skip all other lines."""
    with fileinput.input(files or ["-"], encoding="utf-8", errors="replace") as texts:
        for text in texts:
            line = parse_line(text)
            if line is not None:
                yield line


def parse_line(text: str) -> LogLine | None:
    """Return the event in ``text``, or ``None`` if there is none.

    Log collectors may put other words before the JSON object.
    """
    try:
        fields = msgspec.json.decode(text[text.index("{") :], type=dict[str, object])
        facts = {name: value for name, value in fields.items() if name not in _NOT_FACTS}
        return LogLine(
            str(fields["event"]),
            str(fields["node"]),
            int(fields.get("stamp", 0)),
            str(fields.get("request", "")),
            facts,
        )
    except (KeyError, TypeError, ValueError):
        return None
