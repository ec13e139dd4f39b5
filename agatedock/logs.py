"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys

import logfmter


def configure(level: str, name: str) -> None:
    """Sends logs to standard error as key=value lines.

    Args:
      level: Lowest level to write.
      name: Name of this process, on every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logfmter.Logfmter(
            keys=["at", "level", "router"],
            mapping={"at": "asctime", "level": "levelname"},
            datefmt="%Y-%m-%dT%H:%M:%S",
        )
    )
    handler.addFilter(lambda record: _add_router(record, name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def _add_router(record: logging.LogRecord, name: str) -> bool:
    record.router = name
    return True


def event(
    logger: logging.Logger,
    name: str,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Writes one event; keys of `fields` become keys of the line."""
    if logger.isEnabledFor(level):
        logger.log(level, {"event": name, **fields})
