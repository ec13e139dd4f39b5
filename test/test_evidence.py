"""Explaining the outcome of a request from collected logs."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from agatedock import diagnosis
from agatedock import errors

LOG = """\
at=2026-12-04T09:59:59.100 level=INFO event=started node=a router=a
at=2026-12-04T10:00:03.000 level=INFO event=replica_gone replica=r1 router=a
at=2026-12-04T10:00:03.100 level=INFO event=replica_gone replica=r9 router=a
at=2026-12-04T10:00:03.200 level=INFO event=replica_gone replica=r1 router=b
at=2026-12-04T10:00:04.000 level=WARNING event=request id=q1 replica=r1 \
failures=r1:broken outcome=outcome_unknown took_ms=900 router=a
at=2026-12-04T10:00:05.000 level=WARNING event=store_lost \
cause="GET /x: Timeout \\"now\\"" router=a
at=2026-12-04T10:00:09.000 level=WARNING event=request id=q2 revision=7 \
proof_age_ms=4500 outcome=stale_configuration took_ms=1 router=a
Traceback (most recent call last):
"""


class DiagnosisTest(unittest.TestCase):
    """A log file with the lines of two routers."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "log"
        self.path.write_text(LOG)
        self.lines = diagnosis.read_lines([self.path])

    def list_related_events(self, request_id: str) -> list[str]:
        """Returns the events related to a request, with its own."""
        return [
            line.event
            for line in diagnosis.find_related_lines(self.lines, request_id)
        ]

    def test_lines_in_other_formats_are_skipped(self):
        self.assertEqual(len(self.lines), 7)

    def test_related_events_are_of_the_same_router_and_replica(self):
        self.assertEqual(
            self.list_related_events("q1"),
            ["replica_gone", "request", "store_lost"],
        )

    def test_outcome_text_has_the_values_of_the_line(self):
        (line,) = [line for line in self.lines if line.fields.get("id") == "q2"]
        self.assertIn("4500 ms", diagnosis.explain_outcome(line))
        self.assertIn("revision 7", diagnosis.explain_outcome(line))

    def test_quoted_values_are_parsed(self):
        lost = [line for line in self.lines if line.event == "store_lost"]
        self.assertIn("Timeout", lost[0].fields["cause"])

    def test_unreadable_file_raises_a_user_error(self):
        with self.assertRaises(errors.UserError):
            diagnosis.read_lines([pathlib.Path("/nowhere/log")])
