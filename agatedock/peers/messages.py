"""Datagrams between routers."""

from __future__ import annotations

import msgspec

from agatedock import errors


class RouterStatus(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one router, by itself or as others pass it on.

    Attributes:
      router_hash: Short number of its name.
      sequence: Grows with each row that the router makes, also over restarts.
      zone: Its failure domain.
      link_mbps: Speed of its VM's link in Mbit/s.
      revision: Of the configuration in force there.
      running_by_service: Its running requests by short number of the service.
      age_ms: How long ago it was made, when the message was sent.
    """

    router_hash: int
    sequence: int
    zone: str
    link_mbps: int
    revision: int
    running_by_service: dict[int, int]
    age_ms: int = 0


class GossipMessage(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Rows that a router passes on.

    Attributes:
      sender_name: The sender.
      statuses: Its own, then the latest that it heard.
    """

    sender_name: str
    statuses: list[RouterStatus]


class Reservation(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """One router's running requests at a replica, told to the count's owner.

    Attributes:
      sender_id: Names the sending process; a restarted one has another.
      sequence: Grows with each reservation of a sender.
      replica_hash: Short number of the replica.
      running: The sender's requests there, one that it wants to place included.
      max_running: The request is placed only if no more than these run there,
        it included; 0 if nothing is asked for and no verdict is awaited.
      part_hashes: Short numbers of the shared parts of its prompt.
    """

    sender_id: int
    sequence: int
    replica_hash: int
    running: int
    max_running: int = 0
    part_hashes: list[int] = msgspec.field(default_factory=list)


class ReservationReply(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Answer to a reservation.

    Attributes:
      sequence: Of the reservation.
      granted: Whether the request was counted in.
      total_running: Requests at the replica from all routers, this one included
        if it was granted.
      cached_parts: Those of the reservation's parts that the replica has read
        before.
    """

    sequence: int
    granted: bool
    total_running: int
    cached_parts: list[int] = msgspec.field(default_factory=list)


class PartLookup(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Tells the owner of a part who reads it, and asks who else has.

    Attributes:
      sequence: Shared with the sender's reservations.
      part_hash: Short number of a part of a prompt.
      replica_hash: Short number of the replica that is about to read it.
    """

    sequence: int
    part_hash: int
    replica_hash: int


class PartHolders(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Answer to a reading.

    Attributes:
      sequence: Of the reading.
      replica_hashes: Short numbers of those that read the part, the latest
        first.
    """

    sequence: int
    replica_hashes: list[int]


Reply = ReservationReply | PartHolders
Message = GossipMessage | Reservation | PartLookup | Reply

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
