"""Reads what replicas say of their load, and how slow their hosts are.

Answers replicas that share their hosts with other work: the same number of
requests takes longer there. A report is of one moment and many routers read the
same one, so a single report decides nothing: only the smoothed slowness of a
host does, which is the same for whoever reads it.
"""

from __future__ import annotations

import dataclasses
import math
import re

# Largest number in a report that is believed.
COUNT_MAX = 1_000_000
# Slowness of a host at which work takes as long as usual.
USUAL_PERCENT = 100
# Bounds of the slowness of a host, as a multiple of the usual time.
SLOWNESS_MIN = 0.25
SLOWNESS_MAX = 8.0
# The weight of what was known before halves in this time.
HALF_LIFE_S = 1.0
# Without a report for this long, a host counts as usual.
LIFETIME_S = 5.0

_FIGURES_PATTERN = re.compile(r"\d{1,9}( *, *\d{1,9}){2,3}", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a replica says of its load.

    Attributes:
      running: Requests that it runs.
      waiting: Requests that wait there.
      slots: Requests that it runs at once.
      host_percent: How long work takes on its host at this moment, 100 as
        usual; None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    host_percent: int | None = None


def parse_report(value: str) -> LoadReport | None:
    """Returns the report in a header; None if it cannot be read."""
    text = value.strip()
    if not _FIGURES_PATTERN.fullmatch(text):
        return None
    figures = [int(figure) for figure in text.split(",")]
    if max(figures) > COUNT_MAX:
        return None
    return LoadReport(*figures)


@dataclasses.dataclass(frozen=True, slots=True)
class Slowness:
    """Smoothed slowness of a host, as a multiple of the usual time.

    Attributes:
      value: The slowness.
      at: When it was last reported, in seconds.
    """

    value: float
    at: float


def update_slowness(
    before: Slowness | None, host_percent: int, now: float
) -> Slowness:
    """Returns the slowness with one more report.

    Args:
      before: The slowness so far; None without one.
      host_percent: What the report says.
      now: Present time in seconds.
    """
    reported = min(
        SLOWNESS_MAX, max(SLOWNESS_MIN, host_percent / USUAL_PERCENT)
    )
    known = get_slowness(before, now)
    elapsed_s = 0.0 if before is None else max(0.0, now - before.at)
    # Reports of one moment say the same; each counts for the time since the
    # one before, and a first one for a tenth of the half-life.
    counted_s = max(HALF_LIFE_S / 10, min(elapsed_s, HALF_LIFE_S))
    weight = 1 - math.pow(0.5, counted_s / HALF_LIFE_S)
    return Slowness(known + weight * (reported - known), now)


def get_slowness(slowness: Slowness | None, now: float) -> float:
    """Returns how many times as long as usual work takes on a host."""
    if slowness is None or now - slowness.at > LIFETIME_S:
        return 1.0
    return slowness.value


def compute_expected_work(running: int, slowness: float) -> float:
    """Returns by how much a further request makes a replica busier.

    Args:
      running: Requests that it has already.
      slowness: Slowness of its host.
    """
    return (running + 1) * slowness
