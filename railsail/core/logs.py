"""Structured logs: one JSON object per line, on standard output.

The number of lines per second is limited, and ordinary lines may use only half of it. Writing never
blocks, so that no request waits for the log: if the pipe is full, the line is dropped. Dropped
lines are counted, and the next written line reports their number.
"""

import contextlib
import functools
import io
import logging
import os
import select
import sys
from collections.abc import Callable, MutableMapping
from dataclasses import dataclass
from typing import TextIO

import msgspec
import structlog

from railsail.core.clock import steady_seconds

DEFAULT_LINES_PER_SECOND = 200
# A writable pipe accepts this many bytes without blocking (POSIX, PIPE_BUF on Linux).
MAX_LINE_BYTES = 4096
MAX_EXCERPT_CHARACTERS = 1000
# Part of the budget that is reserved for lines that aren't ordinary, such as those of failures.
RESERVED_SHARE = 0.5
_TIMESTAMPER = structlog.processors.TimeStamper(fmt="iso")


@dataclass
class DroppedLines:
    """Counts of dropped lines by reason, and of those that no written line has reported yet."""

    over_budget: int = 0
    pipe_full: int = 0
    unreported: int = 0


class LineBudget:
    """A token bucket: ``per_second`` lines a second, with bursts of up to one second's lines."""

    def __init__(self, per_second: float, now: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._refilled_at = now

    def allow(self, now: float, ordinary: bool) -> bool:
        """Return True if a line may be written at ``now``, in seconds, and if so use a token.

        ``ordinary`` lines can't use the reserved part of the budget.
        """
        self._tokens = min(
            self._per_second, self._tokens + (now - self._refilled_at) * self._per_second
        )
        self._refilled_at = now
        reserved = RESERVED_SHARE * self._per_second if ordinary else 0.0
        if self._tokens < 1.0 + reserved:
            return False
        self._tokens -= 1.0
        return True


class LineWriter:
    """A file object for structlog that drops a line if writing it would block."""

    def __init__(self, file: TextIO, dropped: DroppedLines) -> None:
        self._file = file
        self._dropped = dropped
        self._poll = select.poll()
        self._descriptor: int | None = None
        # An in-memory file has no descriptor, and never blocks.
        with contextlib.suppress(io.UnsupportedOperation):
            self._descriptor = file.fileno()
            self._poll.register(self._descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write ``line``, or count it as dropped.

        Instead of a line that is too long, write the event ``line too long`` with its start.
        """
        data = line.encode()
        if len(data) > MAX_LINE_BYTES:
            line = (
                _encode({"event": "line too long", "begins": line[:MAX_EXCERPT_CHARACTERS]}) + "\n"
            )
            data = line.encode()
        if self._descriptor is None:
            self._file.write(line)
        elif not self._poll.poll(0) or not self._write(data):
            self._dropped.pipe_full += 1
            self._dropped.unreported += 1

    def _write(self, data: bytes) -> bool:
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader is gone. The daemon keeps serving without a log.
            return False
        return True

    def flush(self) -> None:
        """Do nothing: lines are never buffered."""


class BudgetProcessor:
    """A structlog processor that drops lines over the budget, ``ordinary`` lines first."""

    def __init__(
        self, per_second: float, dropped: DroppedLines, clock: Callable[[], float] = steady_seconds
    ) -> None:
        self._budget = LineBudget(per_second, clock())
        self._dropped = dropped
        self._clock = clock

    def __call__(
        self, logger: object, method: str, line: MutableMapping[str, object]
    ) -> MutableMapping[str, object]:
        """Return ``line``, or raise ``DropEvent``."""
        ordinary = bool(line.pop("ordinary", False))
        if not self._budget.allow(self._clock(), ordinary):
            self._dropped.over_budget += 1
            self._dropped.unreported += 1
            raise structlog.DropEvent
        if self._dropped.unreported:
            line["lines_left_out"] = self._dropped.unreported
            self._dropped.unreported = 0
        return line


def configure_logs(
    level: str, node: str, lines_per_second: int = DEFAULT_LINES_PER_SECOND
) -> DroppedLines:
    """Configure structlog, and return the counts of dropped lines, which it keeps current.

    ``level`` is the name of a level of the standard library's ``logging``.
    """
    dropped = DroppedLines()
    structlog.configure(
        processors=[
            BudgetProcessor(lines_per_second, dropped),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            _add_timestamp,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=LineWriter(sys.stdout, dropped)),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)
    # A logger that has been used keeps its old configuration.
    get_logger.cache_clear()
    return dropped


@functools.cache
def get_logger() -> structlog.stdlib.BoundLogger:
    """Return the logger of this process."""
    return structlog.get_logger()


def _add_timestamp(
    logger: object, method: str, line: MutableMapping[str, object]
) -> MutableMapping[str, object]:
    return line if "timestamp" in line else _TIMESTAMPER(logger, method, line)


def _encode(line: object, **options: object) -> str:
    return msgspec.json.encode(line, enc_hook=str).decode()
