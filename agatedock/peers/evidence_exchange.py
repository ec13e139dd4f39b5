"""Exchanges evidence about prompt parts that crash replicas with peers.

Requests with one part enter at any router, so each sees only some of the
crashes. In a small fleet news go to each peer once. In a larger one they go to
one peer per round and are forwarded for a number of rounds that grows with the
logarithm of the fleet. Suspects of several crashes go first and may use more of
the bandwidth. A router that was restarted gets the parts with several crashes,
which are also sent without news. Without evidence nothing is sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
import random

from agatedock import addresses
from agatedock import hashing
from agatedock.peers import endpoint
from agatedock.peers import gossip
from agatedock.peers import messages
from agatedock.views import crash_evidence
from agatedock.views import crash_reports

ROUND_S = 0.05
# Evidence without news is sent once per interval if a part has this many
# crashes, for routers that started since.
REPEAT_S = 0.5
REPEATED_CRASHES_MIN = 2
# Rounds in which news are forwarded, in addition to the logarithm of the fleet.
EXTRA_ROUNDS = 4
# With at most so many peers, news go to each of them, and are forwarded once
# as a datagram may be lost.
SMALL_FLEET_PEERS_MAX = 12
FORWARD_ROUNDS = 1
# Parts in one message: few, so that the most urgent reach many peers before the
# bandwidth budget is spent. More are read, and fit into a packet.
PARTS_SENT_MAX = 6
URGENT_PARTS_SENT_MAX = 3
PARTS_PER_MESSAGE_MAX = 12
REPORTS_PER_MESSAGE_MAX = 60
# Crashes from which on the news of a suspect are urgent.
URGENT_CRASHES_MIN = 2
# Part of the bandwidth budget that news leave for reservations. Urgent news
# only have to fit into what is left.
RESERVED_BYTES = endpoint.BURST_MAX_BYTES / 4
# Ages are limited to one at which evidence has expired for certain.
AGE_MAX_S = 100 * crash_evidence.EXPIRY_S
# Answers of one part that are read from a message.
ANSWERS_PER_PART_MAX = 16
_ANSWER_KINDS = frozenset(crash_reports.AnswerKind)
_MS_PER_S = 1000


class EvidenceExchange:
    """Sends and receives crash evidence."""

    def __init__(
        self,
        peer_endpoint: endpoint.Endpoint,
        peers: gossip.Gossip,
        evidence: crash_evidence.CrashEvidence,
        now: Callable[[], float],
    ) -> None:
        """Registers for crash evidence at the endpoint.

        Args:
          peer_endpoint: Sends and receives datagrams.
          peers: The other routers and their addresses.
          evidence: The local evidence.
          now: Returns the present time in seconds.
        """
        self._peer_endpoint = peer_endpoint
        self._peers = peers
        self._evidence = evidence
        self._now = now
        # Rounds in which the news of a part are still to be sent.
        self._rounds_left: dict[int, int] = {}
        self._repeated_at = float("-inf")
        # Names of the peers that get the next messages.
        self._next_names: list[str] = []
        self._random = random.Random(peers.name)
        peer_endpoint.handlers[messages.CrashEvidence] = self

    async def run(self) -> None:
        """Sends evidence periodically until cancelled."""
        while True:
            await asyncio.sleep(ROUND_S)
            self.run_round(self._now())

    def run_round(self, now: float) -> None:
        """Sends news to a peer, or all evidence if that is due."""
        names = [peer.name for peer in self._peers.list_peers()]
        if not names:
            return
        self._collect_news(len(names))
        part_hashes, is_urgent = self._choose_news()
        if not part_hashes and now - self._repeated_at >= REPEAT_S:
            self._repeated_at = now
            self._evidence.drop_expired(now)
            part_hashes = self._choose_repeated()
        if not part_hashes:
            return
        message = self._make_message(part_hashes, now)
        reserved_bytes = RESERVED_BYTES
        if is_urgent:
            reserved_bytes = endpoint.measure(message)
        if not self._peer_endpoint.may_send(reserved_bytes):
            return
        address = self._peers.get_socket_address(
            hashing.hash_name(self._choose_peer(names))
        )
        if address is not None and message.parts:
            self._peer_endpoint.send(message, address)
        for part_hash in part_hashes:
            self._count_round(part_hash)

    def _choose_peer(self, names: list[str]) -> str:
        """Returns the next peer; each comes once before one comes again."""
        while self._next_names:
            name = self._next_names.pop()
            if name in names:
                return name
        self._next_names = self._random.sample(names, len(names))
        return self._next_names.pop()

    def _collect_news(self, peer_count: int) -> None:
        rounds = EXTRA_ROUNDS + math.ceil(math.log2(peer_count + 1))
        forward_rounds = rounds
        if peer_count <= SMALL_FLEET_PEERS_MAX:
            rounds, forward_rounds = peer_count, FORWARD_ROUNDS
        for part_hash in self._evidence.learned_parts:
            self._rounds_left[part_hash] = max(
                forward_rounds, self._rounds_left.get(part_hash, 0)
            )
        for part_hash in self._evidence.changed_parts:
            self._rounds_left[part_hash] = rounds
        self._evidence.changed_parts.clear()
        self._evidence.learned_parts.clear()

    def _count_round(self, part_hash: int) -> None:
        left = self._rounds_left.get(part_hash, 0) - 1
        if left > 0:
            self._rounds_left[part_hash] = left
        else:
            self._rounds_left.pop(part_hash, None)

    def _choose_news(self) -> tuple[list[int], bool]:
        """Returns the most urgent news, and whether they are urgent."""
        ranks = {
            part_hash: self._evidence.rank(part_hash)
            for part_hash in self._rounds_left
        }
        ranked = sorted(
            ranks,
            key=lambda part_hash: ranks[part_hash].make_key(),
            reverse=True,
        )
        urgent = [
            part_hash
            for part_hash in ranked
            if ranks[part_hash].is_suspect
            and ranks[part_hash].crashes >= URGENT_CRASHES_MIN
        ]
        if urgent:
            return urgent[:URGENT_PARTS_SENT_MAX], True
        return ranked[:PARTS_SENT_MAX], False

    def _choose_repeated(self) -> list[int]:
        ranked = sorted(
            self._evidence.list_parts(), key=self._count_crashes, reverse=True
        )
        return [
            part_hash
            for part_hash in ranked[:PARTS_PER_MESSAGE_MAX]
            if self._count_crashes(part_hash) >= REPEATED_CRASHES_MIN
        ]

    def _count_crashes(self, part_hash: int) -> int:
        return len(self._evidence.list_crashes(part_hash))

    def _make_message(
        self, part_hashes: list[int], now: float
    ) -> messages.CrashEvidence:
        parts = []
        reports = 0
        for part_hash in part_hashes:
            known = self._evidence.describe(part_hash)
            if known is None:
                continue
            reports += len(known.crashes) + len(known.answered_at)
            if reports > REPORTS_PER_MESSAGE_MAX:
                break
            parts.append(_encode_part(known, now))
        return messages.CrashEvidence(parts)

    def handle_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Merges a peer's evidence."""
        del address
        if not isinstance(message, messages.CrashEvidence):
            return
        now = self._now()
        self._evidence.merge(
            [
                _decode_part(report, now)
                for report in message.parts[:PARTS_PER_MESSAGE_MAX]
            ],
            now,
        )


def _encode_part(
    known: crash_reports.PartEvidence, now: float
) -> messages.PartReport:
    return messages.PartReport(
        known.part_hash,
        [
            messages.CrashReport(
                crash.run_hash,
                crash.version_hash,
                _to_age_ms(crash.at, now),
                _to_lasted_ms(crash.lasted_s),
            )
            for crash in known.crashes
        ],
        [
            messages.AnswerReport(
                key.version_hash, _to_age_ms(at, now), key.kind
            )
            for key, at in known.answered_at.items()
        ],
        _to_age_ms(known.used_at, now),
    )


def _decode_part(
    report: messages.PartReport, now: float
) -> crash_reports.PartEvidence:
    """Returns a peer's evidence, with ages that are limited."""
    return crash_reports.PartEvidence(
        report.part_hash,
        tuple(
            crash_reports.Crash(
                crash.run_hash,
                crash.version_hash,
                now - _to_age_s(crash.age_ms),
                _to_age_s(crash.lasted_ms),
            )
            for crash in report.crashes[-crash_evidence.CRASHES_PER_PART_MAX :]
        ),
        {
            crash_reports.AnswerKey(
                answer.version_hash, crash_reports.AnswerKind(answer.kind)
            ): now - _to_age_s(answer.age_ms)
            for answer in report.answers[-ANSWERS_PER_PART_MAX:]
            if answer.kind in _ANSWER_KINDS
        },
        now - _to_age_s(report.used_age_ms),
    )


def _to_age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * _MS_PER_S))


def _to_lasted_ms(lasted_s: float) -> int:
    """Returns whole milliseconds; 0 only if an answer had not begun."""
    return math.ceil(lasted_s * _MS_PER_S)


def _to_age_s(age_ms: int) -> float:
    return min(AGE_MAX_S, max(0.0, age_ms / _MS_PER_S))
