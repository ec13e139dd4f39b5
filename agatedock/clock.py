"""Clocks: wall-clock time, comparable between VMs, and steady time."""

from __future__ import annotations

import time


def read_wall_ms() -> int:
    """Returns the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


def read_steady_s() -> float:
    """Returns seconds since boot, without steps, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
