"""Typed datagrams between routers, encoded as MessagePack arrays."""

from __future__ import annotations

import enum

import msgspec


class Status(enum.IntEnum):
    """Conditions of a member; at one incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class MemberItem(
    msgspec.Struct, tag=0, array_like=True, frozen=True, kw_only=True
):
    """Address and condition of a router."""

    name: str
    incarnation: int
    status: Status
    host: str
    gossip_port: int
    peer_port: int
    rpc_port: int
    failure_domain: str

    @property
    def key(self) -> tuple[int, str]:
        """Returns what the item replaces an older one of."""
        return (0, self.name)


class ModelLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of the engines of one model that one router is home of.

    Attributes:
      engines: Number of those engines.
      load: Requests on them.
      waiting: Requests queued for them.
      shed_permille: Share of new requests to refuse at entry, by rank.
    """

    model: str
    engines: int
    load: int
    waiting: int = 0
    shed_permille: tuple[int, ...] = ()


class StateItem(
    msgspec.Struct, tag=1, array_like=True, frozen=True, kw_only=True
):
    """What a router says of itself; the higher version wins."""

    name: str
    incarnation: int
    version: int
    revision: int
    loads: tuple[ModelLoad, ...] = ()

    @property
    def key(self) -> tuple[int, str]:
        """Returns what the item replaces an older one of."""
        return (1, self.name)


class LeavingItem(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """News that an upstream is leaving or, with `back`, live again.

    Attributes:
      stamp_ms: Wall-clock time of the observation; the later one wins.
    """

    upstream: str
    stamp_ms: int
    back: bool = False

    @property
    def key(self) -> tuple[int, str]:
        """Returns what the item replaces an older one of."""
        return (2, self.upstream)


Item = MemberItem | StateItem | LeavingItem


class Kind(enum.IntEnum):
    """Purposes of a datagram."""

    UPDATE = 0
    PROBE = 1
    ACK = 2
    ASK_PROBE = 3


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    Attributes:
      sequence: Matches an ACK with its PROBE.
      target: For ASK_PROBE the member to probe; else empty.
      revision: Configuration revision in force at the sender.
      digest: Digest of that configuration.
    """

    kind: Kind
    sequence: int
    sender: str
    target: str
    revision: int
    digest: int
    items: list[msgspec.Raw] = []


class BadPacket(Exception):  # noqa: N818
    """A datagram that does not decode."""


_encoder = msgspec.msgpack.Encoder()
_packet_decoder = msgspec.msgpack.Decoder(Packet)
_item_decoder = msgspec.msgpack.Decoder(Item)

MAX_DECODED_BYTES = 65536


def encode_item(item: Item) -> bytes:
    """Returns the bytes of one item."""
    return _encoder.encode(item)


def encode(packet: Packet) -> bytes:
    """Returns the bytes of a datagram."""
    return _encoder.encode(packet)


def decode(data: bytes) -> tuple[Packet, list[Item]]:
    """Parses a datagram and its items.

    Raises:
      BadPacket: The bytes are not a packet of this version.
    """
    if len(data) > MAX_DECODED_BYTES:
        raise BadPacket(f"{len(data)} bytes")
    try:
        packet = _packet_decoder.decode(data)
        return packet, [_item_decoder.decode(raw) for raw in packet.items]
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise BadPacket(str(error)) from error
