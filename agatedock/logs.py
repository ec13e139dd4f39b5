"""Structured, rate-limited logs: one line of key=value pairs per event."""

from __future__ import annotations

import logging
import os
import sys

import logfmter

# Lines beyond these rates are dropped and counted. Levels above INFO have their
# own rate, so that many successful requests do not displace failures.
INFO_LINES_PER_S = 60.0
FAILURE_LINES_PER_S = 60.0
# Capacity of the token bucket, as seconds of the rate.
BURST_S = 3.0
# Minimum time between two reports of dropped lines.
LOST_REPORT_INTERVAL_S = 5.0


class _Formatter(logfmter.Logfmter):
    """Formatter that writes times with milliseconds."""

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        return f"{super().formatTime(record, datefmt)}.{record.msecs:03.0f}"


def configure(level: str, name: str) -> None:
    """Configures rate-limited, non-blocking logging to standard output.

    Args:
      level: Lowest level to write.
      name: Name of this process, written in the field `router` of each line.
    """
    _install(RateLimitedHandler(sys.stdout.fileno()), level, name)


def count_lost_lines() -> int:
    """Returns the number of lines dropped since the process started."""
    return sum(
        handler.lost_lines_total
        for handler in logging.getLogger().handlers
        if isinstance(handler, RateLimitedHandler)
    )


def _install(handler: logging.Handler, level: str, name: str) -> None:
    handler.setFormatter(
        _Formatter(
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
    """Logs one event; the keys of `fields` become keys of the line."""
    if logger.isEnabledFor(level):
        logger.log(level, {"event": name, **fields})


class _TokenBucket:
    """Token bucket with one token per line."""

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._capacity = lines_per_s * BURST_S
        self._tokens = self._capacity
        self._refilled_at: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Takes one token; returns False if the bucket is empty.

        Args:
          now: Time of the line in seconds.
        """
        if self._refilled_at is not None:
            elapsed_s = max(0.0, now - self._refilled_at)
            self._tokens = min(
                self._capacity, self._tokens + elapsed_s * self._lines_per_s
            )
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateLimitedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    A line is dropped if the rate limit is exceeded or the descriptor cannot
    take it. Dropped lines are counted and reported by the event `lines_lost`.

    Attributes:
      lost_lines_total: Number of lines dropped since the process started.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._info_bucket = _TokenBucket(INFO_LINES_PER_S)
        self._failure_bucket = _TokenBucket(FAILURE_LINES_PER_S)
        self._reported_at = 0.0
        # Rest of a line that was written only in part.
        self._pending = b""
        self._unreported_count = 0
        self.lost_lines_total = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or drops and counts it."""
        is_failure = record.levelno > logging.INFO
        bucket = self._failure_bucket if is_failure else self._info_bucket
        if not bucket.try_acquire(record.created):
            self._count_lost_line()
            return
        if (
            self._unreported_count
            and record.created - self._reported_at > LOST_REPORT_INTERVAL_S
        ):
            self._reported_at = record.created
            self._write(self._format_lost_report(record))
            self._unreported_count = 0
        if not self._write(self.format(record)):
            self._count_lost_line()

    def _count_lost_line(self) -> None:
        self._unreported_count += 1
        self.lost_lines_total += 1

    def _format_lost_report(self, record: logging.LogRecord) -> str:
        report = logging.makeLogRecord({**record.__dict__, "exc_info": None})
        report.msg = {"event": "lines_lost", "count": self._unreported_count}
        report.args = None
        return self.format(report)

    def _write(self, line: str) -> bool:
        """Writes one line; returns False if it was dropped.

        The rest of a line that was written in part is written before the next
        line.
        """
        if self._pending and not self._flush_pending():
            return False
        data = line.encode("utf-8", "replace") + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # The pipe is full or closed; the caller counts the line as lost.
            return False
        self._pending = data[written:]
        return True

    def _flush_pending(self) -> bool:
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            return False
        self._pending = self._pending[written:]
        return not self._pending
