"""Decides what clients may make a process hold, and who has to make room.

Answers clients that are outside the operators' control: heads and bodies
without end, or that stop just short of it, on many connections. What a process
holds for them is limited by the memory and the descriptors of its VM. Whoever
has made no progress for the longest time makes room first, so a crowd of
stalled clients does not take the place of those that send.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
from typing import Protocol
from typing import TypeVar

_MIB = 1024 * 1024

# Bodies that are held together, whatever memory there is.
BODIES_MAX_BYTES = 32 * _MIB
# Room for two bodies of the usual limit, in a VM with little memory.
BODIES_MIN_BYTES = 8 * _MIB
# Memory of a router that holds nothing.
RESTING_BYTES = 56 * _MIB
# Part of the remaining memory that bodies may take: they are copied when they
# are complete, and the allocator does not return all that it was given.
BODIES_FRACTION = 1 / 4
# Part of the remaining memory for requests, from the first byte of their head
# to the end of their response, without their bodies.
REQUESTS_FRACTION = 1 / 6
REQUESTS_MIN_BYTES = 4 * _MIB
# Memory that a request takes while it is served, with its task and connection.
REQUEST_BYTES = 20 * 1024
# Memory for the part of a body that comes with its head.
BODY_PART_BYTES = 24 * 1024
# Memory that a parsed head takes: for each line, and as a multiple of its
# bytes. A text may take four bytes for each character.
HEAD_LINE_BYTES = 320
HEAD_BYTES_FACTOR = 6
# Part of the descriptors that clients may use; the others are for replicas,
# peers and files.
CONNECTIONS_FRACTION = 1 / 2
CONNECTIONS_MAX = 10_000
# Parts of the descriptors and of the remaining memory for each listener that is
# not for clients.
LISTENER_CONNECTIONS_FRACTION = 1 / 16
LISTENER_CONNECTIONS_MAX = 1000
LISTENER_CONNECTIONS_MIN = 8
LISTENER_REQUESTS_FRACTION = 1 / 64
LISTENER_REQUESTS_MIN_BYTES = _MIB
LISTENER_BODIES_BYTES = 8 * _MIB
# A whole head may be this many times as long as one of its lines.
HEAD_LINES_FACTOR = 2
# Bytes beside the data of a body, such as the lengths of its pieces: a fixed
# number, and as a multiple of the data. Pieces of one byte need five.
OVERHEAD_BYTES = 64 * 1024
OVERHEAD_FACTOR = 8
# Heads and bodies below this part of the mean size are not dropped for others.
SPARED_FRACTION = 1 / 4
# A client without progress for this long is stalled.
STALLED_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What all clients together may make a process hold.

    Attributes:
      connections: Connections of clients.
      requests_bytes: Memory of the requests that arrive or are served, without
        their bodies.
      bodies_bytes: Bytes of the bodies that arrive or are in use.
    """

    connections: int = CONNECTIONS_MAX
    requests_bytes: int = 64 * _MIB
    bodies_bytes: int = BODIES_MAX_BYTES


def compute_limits(memory_bytes: int, descriptors: int) -> ClientLimits:
    """Returns the limits of a process on a VM.

    Args:
      memory_bytes: Memory that the process may use; 0 if unknown.
      descriptors: Descriptors that it may open; 0 if unknown.
    """
    limits = ClientLimits()
    if memory_bytes:
        remaining_bytes = max(0, memory_bytes - RESTING_BYTES)
        bodies_bytes = int(remaining_bytes * BODIES_FRACTION)
        limits = dataclasses.replace(
            limits,
            requests_bytes=max(
                REQUESTS_MIN_BYTES, int(remaining_bytes * REQUESTS_FRACTION)
            ),
            bodies_bytes=min(
                BODIES_MAX_BYTES, max(BODIES_MIN_BYTES, bodies_bytes)
            ),
        )
    if descriptors:
        connections = max(1, int(descriptors * CONNECTIONS_FRACTION))
        limits = dataclasses.replace(
            limits, connections=min(CONNECTIONS_MAX, connections)
        )
    return limits


def compute_listener_limits(
    memory_bytes: int, descriptors: int
) -> ClientLimits:
    """Returns the limits of a listener for peers, operators or probes.

    Args:
      memory_bytes: Memory that the process may use; 0 if unknown.
      descriptors: Descriptors that it may open; 0 if unknown.
    """
    remaining_bytes = max(0, memory_bytes - RESTING_BYTES)
    connections = LISTENER_CONNECTIONS_MAX
    if descriptors:
        connections = int(descriptors * LISTENER_CONNECTIONS_FRACTION)
    return ClientLimits(
        connections=min(
            LISTENER_CONNECTIONS_MAX, max(LISTENER_CONNECTIONS_MIN, connections)
        ),
        requests_bytes=max(
            LISTENER_REQUESTS_MIN_BYTES,
            int(remaining_bytes * LISTENER_REQUESTS_FRACTION),
        ),
        bodies_bytes=LISTENER_BODIES_BYTES,
    )


def estimate_head_bytes(size_bytes: int, lines: int) -> int:
    """Returns the memory that a head takes.

    Args:
      size_bytes: Its bytes.
      lines: Number of its lines.
    """
    return lines * HEAD_LINE_BYTES + size_bytes * HEAD_BYTES_FACTOR


def exceeds_overhead(received_bytes: int, data_bytes: int) -> bool:
    """Returns whether a body has too many bytes that are not its data.

    Args:
      received_bytes: All bytes received since its head.
      data_bytes: Those that are its data.
    """
    allowed_bytes = OVERHEAD_BYTES + OVERHEAD_FACTOR * data_bytes
    return received_bytes - data_bytes > allowed_bytes


class Phase(enum.IntEnum):
    """What a connection waits for, in the order in which they make room."""

    # Its first request, or the rest of one.
    ARRIVING = 0
    # Another request after one that was answered.
    IDLE = 1
    # Its request is being served.
    SERVED = 2


class Client(Protocol):
    """A connection, or a body that is arriving."""

    @property
    def progress_at(self) -> float:
        """Returns when its last bytes arrived, in seconds."""

    @property
    def size_bytes(self) -> int:
        """Returns the bytes that are held for it."""


class Connection(Client, Protocol):
    """A connection of a client."""

    @property
    def phase(self) -> Phase:
        """Returns what it waits for."""


_ConnectionT = TypeVar("_ConnectionT", bound=Connection)
_ClientT = TypeVar("_ClientT", bound=Client)


def choose_connection(
    candidates: Iterable[_ConnectionT],
) -> _ConnectionT | None:
    """Returns the connection that is closed for a new one.

    Of those that wait for their client, one that has waited longest. Returns
    None if all requests are being served.
    """
    waiting = (item for item in candidates if item.phase is not Phase.SERVED)
    return min(
        waiting, key=lambda item: (item.phase, item.progress_at), default=None
    )


def is_stalled(client: Client, now: float) -> bool:
    """Returns whether a client has made no progress for a while."""
    return now - client.progress_at > STALLED_S


def is_spared(client: Client, total_bytes: int, count: int) -> bool:
    """Returns whether a client holds too little to make room for others.

    Args:
      client: The client.
      total_bytes: Bytes that are held for it and the others.
      count: Their number.
    """
    return client.size_bytes <= SPARED_FRACTION * total_bytes / max(1, count)


def choose_dropped(
    candidates: Collection[_ClientT], now: float
) -> _ClientT | None:
    """Returns whose bytes are dropped if all together exceed a limit.

    Those far below the mean size are spared: they give little room, and may
    only seem to be stalled while the process is busy with the others. Of the
    rest, the largest that is stalled, else the largest; None if there is none.

    Args:
      candidates: Heads or bodies that are arriving.
      now: Present time in seconds.
    """
    total_bytes = sum(item.size_bytes for item in candidates)
    count = len(candidates)
    return max(
        (
            item
            for item in candidates
            if not is_spared(item, total_bytes, count)
        ),
        key=lambda item: (is_stalled(item, now), item.size_bytes),
        default=None,
    )
