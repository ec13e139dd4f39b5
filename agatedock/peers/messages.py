"""Messages between routers, sent as UDP datagrams.

Messages are encoded as MessagePack arrays, so the order and types of fields
must not change. Routers, replicas, services and prompt parts are identified by
32-bit hashes of their names.
"""

from __future__ import annotations

import msgspec

from agatedock import errors


class RouterStatus(msgspec.Struct, array_like=True, frozen=True):
    """Status of a router, sent by itself or forwarded by others.

    Attributes:
      router_hash: Hash of the router's name.
      sequence: Sequence number, which grows with each status that the router
        makes, also across restarts.
      zone: Failure domain of the router.
      link_mbps: Speed of its VM's link in Mbit/s.
      version: Version of the configuration that it applies.
      running_by_service: Its running requests by hash of the service.
      age_ms: Age of the status when the message was sent.
    """

    router_hash: int
    sequence: int
    zone: str
    link_mbps: int
    version: int
    running_by_service: dict[int, int]
    age_ms: int = 0


class GossipMessage(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Statuses that a router sends to a peer.

    Attributes:
      sender_name: Name of the sender.
      statuses: Status of the sender, then the latest ones of other routers.
    """

    sender_name: str
    statuses: list[RouterStatus]


class RateLimitReport(msgspec.Struct, array_like=True, frozen=True):
    """What a router knows of the rate limit of a replica's run.

    Attributes:
      rate_milli: Requests per 1000 seconds; None if the limit has ended.
      age_ms: Age of this knowledge when the message was sent.
    """

    rate_milli: int | None
    age_ms: int


class Reservation(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A router's running requests at a replica, sent to the count's owner.

    Attributes:
      sender_id: Identifies the sending process; differs after a restart.
      sequence: Sequence number, which grows with each message of a sender.
      replica_hash: Hash of the replica's id.
      running: The sender's requests at the replica, including one that it wants
        to place.
      max_running: The request is granted only if at most this many requests run
        at the replica, including it; 0 for a report, which gets no reply.
      part_hashes: Hashes of the shared parts of the request's prompt.
      run_hash: Hash of the replica's run; 0 if unknown.
      rank: Rank of the request; 0 is the highest.
      is_placed: Whether the request is sent without waiting for the reply.
      rate_limit: What the sender knows of the run's rate limit; None without
        any sign of one.
      cold_rate_milli: Requests per 1000 seconds that the run takes while it is
        cold; 0 if the sender does not know it as cold.
    """

    sender_id: int
    sequence: int
    replica_hash: int
    running: int
    max_running: int = 0
    part_hashes: list[int] = msgspec.field(default_factory=list)
    run_hash: int = 0
    rank: int = 0
    is_placed: bool = False
    rate_limit: RateLimitReport | None = None
    cold_rate_milli: int = 0


class ReservationReply(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Reply to a reservation.

    Attributes:
      sequence: Sequence number of the reservation.
      granted: Whether the request was reserved.
      total_running: Requests at the replica from all routers, including this
        one if it was granted.
      cached_parts: Those of the reservation's parts that the replica has in its
        cache.
      rate_limit: What the owner knows of the rate limit of the run; None
        without any sign of one.
      wait_ms: Time until the rate limit is likely to allow a request; 0 if it
        allowed this one.
    """

    sequence: int
    granted: bool
    total_running: int
    cached_parts: list[int] = msgspec.field(default_factory=list)
    rate_limit: RateLimitReport | None = None
    wait_ms: int = 0


class PartLookup(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Queries the owner of a prompt part for replicas that have it cached.

    The owner also records that `replica_hash` will have the part in its cache.

    Attributes:
      sequence: Sequence number, counted together with those of the sender's
        reservations.
      part_hash: Hash of the prompt part.
      replica_hash: Hash of the replica that is about to load the part.
    """

    sequence: int
    part_hash: int
    replica_hash: int


class PartHolders(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Reply to a part lookup.

    Attributes:
      sequence: Sequence number of the lookup.
      replica_hashes: Hashes of the replicas that have the part in their caches,
        the latest holder first.
    """

    sequence: int
    replica_hashes: list[int]


class Departures(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Replicas that accept no new requests any more, sent down the relay tree.

    Attributes:
      history_id: Identifies the history that the change number belongs to.
      complete_to: Change number as of which the replicas are leaving or gone.
      replica_hashes: Hashes of the replicas' ids.
      domains: Failure domains that are evacuated as of the change number.
    """

    history_id: str
    complete_to: int
    replica_hashes: list[int]
    domains: list[str] = msgspec.field(default_factory=list)


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """The end of a run of a replica.

    Attributes:
      run_hash: Hash of the run.
      version_hash: Hash of the version of its software.
      age_ms: Time since it ended, when the message was sent.
      lasted_ms: How long an answer on the part had lasted there; 0 if none had
        begun.
    """

    run_hash: int
    version_hash: int
    age_ms: int
    lasted_ms: int = 0


class AnswerReport(msgspec.Struct, array_like=True, frozen=True):
    """The latest answer on a prompt part.

    Attributes:
      version_hash: Hash of the version of the replica's software.
      age_ms: Time since then, when the message was sent.
      kind: What it shows, a `crash_reports.AnswerKind`.
    """

    version_hash: int
    age_ms: int
    kind: int = 0


class PartReport(msgspec.Struct, array_like=True, frozen=True):
    """Evidence that a prompt part crashes replicas, or that it does not.

    Attributes:
      part_hash: 64-bit hash of the part's id.
      crashes: Crashes that the part may have caused.
      answers: Answers on the part.
      used_age_ms: Time since a replica crashed or a request was refused.
    """

    part_hash: int
    crashes: list[CrashReport]
    answers: list[AnswerReport]
    used_age_ms: int = 0


class CrashEvidence(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Evidence about prompt parts, sent to random peers.

    Attributes:
      parts: The parts with news, or those with the most crashes.
    """

    parts: list[PartReport]


class DrainingRuns(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Runs of replicas that say that they drain, sent to random peers.

    Attributes:
      run_hashes: Hashes of the runs.
    """

    run_hashes: list[int]


class SilentRuns(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Runs of replicas that send nothing, sent to random peers.

    Attributes:
      run_hashes: Hashes of the runs.
    """

    run_hashes: list[int]


Reply = ReservationReply | PartHolders
Message = (
    GossipMessage
    | Reservation
    | PartLookup
    | Departures
    | CrashEvidence
    | DrainingRuns
    | SilentRuns
    | Reply
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the payload of a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message in a datagram's payload.

    Raises:
      errors.DecodeError: The payload is not a valid message.
    """
    try:
        return _decoder.decode(data)
    except errors.MALFORMED_DATA_ERRORS as error:
        raise errors.DecodeError(str(error)) from error
