"""Structured logs: one JSON object a line, on standard output, for changes of state only."""

import logging
import sys

import structlog


def configure_logs(level: str, node: str) -> None:
    """Set up structlog; ``level`` is a name of the standard library's levels."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stdout),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)


def get_logger() -> structlog.stdlib.BoundLogger:
    """Return the logger of this process."""
    return structlog.get_logger()
