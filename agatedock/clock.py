"""Clocks: wall-clock time for what is compared between VMs, steady time."""

from __future__ import annotations

import time


def read_wall_ms() -> int:
    """Returns the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


def read_steady_s() -> float:
    """Returns seconds of a clock that never steps and counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
