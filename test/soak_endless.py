"""Replicas of the soak that send bytes without end."""

from __future__ import annotations

import asyncio
import pathlib
import random

from standins import endless
from standins import store

# Seeds from here on have replicas that send bytes without end, and crashes of
# replicas within an answer.
FIRST_SEED = 10_000
MEMORY_MAX_MB = 300.0
# Events before a replica crashes on the deadly part.
DEADLY_AFTER = (0, 1, 3)
INTERVALS_S = (0.0, 0.0, 0.02)

_PLAIN = (
    b"HTTP/1.1 200 OK\r\nX-Agatedock-Attempt-Id: ID\r\n"
    b"X-Agatedock-Response-Seal: seal\r\n"
)
_STREAM = _PLAIN + b"Content-Type: text/event-stream\r\n"
_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nX-Agatedock-Attempt-Id: ID\r\n"
    b"X-Agatedock-Not-Executed: 1\r\n"
)
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
# What precedes the bytes without end, and the bytes.
_VARIANTS = (
    (_REFUSAL + b"\r\n", b"x"),
    (_PLAIN + b"\r\n", b"x"),
    (_PLAIN + _CHUNKED + b"\r\n", b"1\r\nx\r\n"),
    (_STREAM + b"\r\n", b"\n"),
    (_STREAM + _CHUNKED + b"\r\n", b"1\r\n\n\r\n"),
    (_PLAIN, b"a: b\r\n"),
    (_PLAIN + b"a:", b"b"),
    (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    (b"", b"garbage "),
)


class EndlessReplicas:
    """Replicas that join for a while and only send bytes without end."""

    def __init__(
        self, platform_store: store.Store, generator: random.Random
    ) -> None:
        self._store = platform_store
        self._random = generator
        self._count = 0

    async def join(self) -> None:
        """Lists such a replica for some seconds."""
        self._count += 1
        service = self._random.choice(("llm", "shop"))
        item = endless.EndlessReplica(f"{service}-9{self._count}", service)
        item.head, unit = self._random.choice(_VARIANTS)
        item.filler = unit * (endless.SEND_BYTES // len(unit))
        item.interval_s = self._random.choice(INTERVALS_S)
        await item.start()
        key = f"servers/{item.name}"
        self._store.put(key, item.encode_entry())
        await asyncio.sleep(self._random.uniform(1.0, 3.0))
        self._store.remove(key)
        await item.stop()


def measure_peak_mb(pid: int) -> float:
    """Returns the largest resident memory of a process so far; 0 if unknown."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1000
    return 0.0
