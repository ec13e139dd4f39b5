"""Datagrams between routers."""

from __future__ import annotations

import msgspec

from agatedock import errors


class Row(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one router, by itself or as others pass it on.

    Attributes:
      router: Short number of its name.
      number: Grows with each row that the router makes, also over restarts.
      zone: Its failure domain.
      link_mbps: Speed of its VM's link in Mbit/s.
      revision: Of the configuration in force there.
      running: Its running requests by short number of the service.
      age_ms: How long ago it was made, when the message was sent.
    """

    router: int
    number: int
    zone: str
    link_mbps: int
    revision: int
    running: dict[int, int]
    age_ms: int = 0


class News(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Rows that a router passes on.

    Attributes:
      name: The sender.
      rows: Its own, then the latest that it heard.
    """

    name: str
    rows: list[Row]


class Reservation(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """One router's running requests at a replica, told to the count's owner.

    Attributes:
      sender: Names the sending process; a restarted one has another.
      number: Grows with each reservation of a sender.
      replica: Short number of the replica.
      count: The sender's requests there, one that it wants to place included.
      most: The request is placed only if no more than these run there, it
        included; 0 if nothing is asked for and no verdict is awaited.
      parts: Short numbers of the shared parts of its prompt.
    """

    sender: int
    number: int
    replica: int
    count: int
    most: int = 0
    parts: list[int] = msgspec.field(default_factory=list)


class Verdict(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Answer to a reservation.

    Attributes:
      number: Of the reservation.
      granted: Whether the request was counted in.
      total: Requests at the replica from all routers, this one included if it
        was granted.
      held: Those of the reservation's parts that the replica has read before.
    """

    number: int
    granted: bool
    total: int
    held: list[int] = msgspec.field(default_factory=list)


class Reading(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Tells the owner of a part who reads it, and asks who else has.

    Attributes:
      number: Shared with the sender's reservations.
      part: Short number of a part of a prompt.
      replica: Short number of the replica that is about to read it.
    """

    number: int
    part: int
    replica: int


class Readers(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Answer to a reading.

    Attributes:
      number: Of the reading.
      replicas: Short numbers of those that read the part, the latest first.
    """

    number: int
    replicas: list[int]


Answer = Verdict | Readers
Message = News | Reservation | Reading | Answer

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message.

    Raises:
      errors.DecodeError: It cannot be read.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise errors.DecodeError(str(error)) from error
