"""Reads how much longer a replica is cold."""

from __future__ import annotations

import re

# No replica is taken to be cold for longer, whatever it says.
COLD_MAX_S = 60.0

_MS_PER_S = 1000
_DECIMAL_PATTERN = re.compile(r"\d{1,15}(\.\d{0,15})?", re.ASCII)


def parse_cold_s(value: str) -> float | None:
    """Returns the seconds that a value in milliseconds says.

    Returns None if it cannot be read.
    """
    text = value.strip()
    if not _DECIMAL_PATTERN.fullmatch(text):
        return None
    return min(COLD_MAX_S, float(text) / _MS_PER_S)
