"""Wall-clock time, for what is compared between VMs or shown to people."""

from __future__ import annotations

import time


def read_wall_ms() -> int:
    """Returns the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000
