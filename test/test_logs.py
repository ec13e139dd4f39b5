"""The rate-limited log: limits, a stopped reader, order of the lines."""

from __future__ import annotations

import logging
import os
import time
import unittest

from agatedock import logs


def make_record(created: float, level: int = logging.INFO):
    """Returns a log record with a creation time in seconds."""
    record = logging.makeLogRecord({"msg": "x" * 500, "levelno": level})
    record.created = created
    return record


class RateLimitedHandlerTest(unittest.TestCase):
    """Lines that the handler writes to a pipe."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = logs.RateLimitedHandler(self.writer)

    def read_bytes(self) -> bytes:
        """Returns the bytes in the pipe."""
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                data += os.read(self.reader, 65536)
            except BlockingIOError:
                return data

    def read_lines(self) -> list[bytes]:
        """Returns the lines in the pipe."""
        return self.read_bytes().splitlines()

    def test_emit_does_not_block_if_the_reader_stops(self):
        started_at = time.monotonic()
        for second in range(100):
            for _ in range(30):
                self.handler.emit(make_record(1000.0 + second))
        self.assertLess(time.monotonic() - started_at, 5)
        self.assertGreater(self.handler.lost_lines_total, 0)
        buffered = self.read_bytes()
        # The rest of the line that was written in part is written first.
        self.handler.emit(make_record(2000.0))
        for line in (buffered + self.read_bytes()).splitlines():
            self.assertRegex(line, rb"^(x{500}|{.*lines_lost.*})$")

    def test_lines_beyond_the_rate_limit_are_dropped_and_counted(self):
        written = 0
        for second in range(10):
            for step in range(500):
                self.handler.emit(make_record(1000.0 + second + step / 500))
                written += len(self.read_lines())
        lines_max = logs.INFO_LINES_PER_S * (10 + logs.BURST_S)
        # One line per report interval has the number of dropped lines.
        self.assertLessEqual(
            written, lines_max + 10 / logs.LOST_REPORT_INTERVAL_S + 1
        )
        self.assertGreaterEqual(self.handler.lost_lines_total, 5000 - written)

    def test_failures_are_written_when_the_info_budget_is_used_up(self):
        for _ in range(1000):
            self.handler.emit(make_record(1000.0))
        self.read_lines()
        self.handler.emit(make_record(1000.0, logging.WARNING))
        self.assertEqual(len(self.read_lines()), 1)

    def test_lost_lines_are_reported(self):
        for _ in range(1000):
            self.handler.emit(make_record(1000.0))
        self.read_lines()
        self.handler.emit(make_record(1010.0))
        first = self.read_lines()[0].decode()
        self.assertIn("lines_lost", first)
