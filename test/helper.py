"""What tests share: a whole system and the users' golden sessions."""

from __future__ import annotations

import os
import pathlib

import hypothesis

GOLDEN = pathlib.Path(__file__).parent / "golden"
EXAMPLES = int(os.environ.get("AGATEDOCK_EXAMPLES", "100"))

hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=EXAMPLES,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("fixed")


def compare_golden(case, name: str, text: str) -> None:
    """Compares a text with its golden file.

    With AGATEDOCK_GOLDEN=write the file is written instead.
    """
    path = GOLDEN / name
    if os.environ.get("AGATEDOCK_GOLDEN") == "write":
        path.write_text(text, encoding="utf-8")
    case.assertEqual(path.read_text(encoding="utf-8"), text)
