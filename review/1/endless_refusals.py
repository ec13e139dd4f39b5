"""A model replica in trouble whose refusals have a body without end."""

from __future__ import annotations

import pathlib

from review import common
from review import traffic

FOLDER = pathlib.Path(__file__).resolve().parent
LENGTH_S = 15.0
TROUBLE_AT_S = 4.0
# Less than the link of a machine takes (1,000 Mbit/s).
BYTES_PER_S = 100e6
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"X-Agatedock-Attempt-Id: ID\r\n"
    b"X-Agatedock-Not-Executed: 1\r\n\r\n"
)
# Requests that may end without an answer (rule LOST).
LOST_MAX = 3


async def play(site: common.Site, record: common.Record) -> int:
    """Plays the case; returns its exit code."""
    replicas = traffic.Replicas(
        record,
        first_bytes=REFUSAL,
        endless_bytes=b"x",
        bytes_per_s=BYTES_PER_S,
    )
    callers = await traffic.play(
        site,
        record,
        replicas,
        trouble_at_s=TROUBLE_AT_S,
        length_s=LENGTH_S,
    )
    runs = replicas.list_runs()
    lost_count = sum(
        attempt_id in runs
        for caller in callers
        for attempt_id in caller.lost_after_s
    )
    (router,) = site.routers
    record.write(
        f"router: memory peak {router.memory_peak_mb:.0f} MB, limit"
        f" {common.MEMORY_MB} MB; ended for its memory:"
        f" {router.was_over_memory}"
    )
    record.write(
        f"answered: {sum(len(caller.took_s) for caller in callers)}; passed on"
        f" to a sound replica and closed without a whole answer: {lost_count}"
    )
    return common.BROKEN if lost_count > LOST_MAX else common.HELD


if __name__ == "__main__":
    common.run_case(FOLDER, play)
