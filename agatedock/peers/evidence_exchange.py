"""Exchanges evidence about prompt parts that crash replicas with peers.

Requests with one part enter at any router, so each sees only some of the
crashes. News go to one random peer per round and are forwarded for a number of
rounds that grows with the logarithm of the fleet. A router that was restarted
gets the parts with several crashes, which are also sent without news. Without
evidence nothing is sent.
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

ROUND_S = 0.05
# Evidence without news is sent once per interval if a part has this many
# crashes, for routers that started since.
REPEAT_S = 0.5
REPEATED_CRASHES_MIN = 2
# Rounds in which news are forwarded, in addition to the logarithm of the fleet.
EXTRA_ROUNDS = 4
# Limit of one message, which fits into a packet.
PARTS_PER_MESSAGE_MAX = 12
REPORTS_PER_MESSAGE_MAX = 60
# Part of the bandwidth budget that is left for reservations.
RESERVED_BYTES = endpoint.BURST_MAX_BYTES / 4
# Ages are limited to one at which evidence has expired for certain.
AGE_MAX_S = 100 * crash_evidence.EXPIRY_S
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
        part_hashes = self._choose_news()
        if not part_hashes and now - self._repeated_at >= REPEAT_S:
            self._repeated_at = now
            self._evidence.drop_expired(now)
            part_hashes = self._choose_repeated()
        if not part_hashes or not self._peer_endpoint.may_send(RESERVED_BYTES):
            return
        message = self._make_message(part_hashes, now)
        address = self._peers.get_socket_address(
            hashing.hash_name(self._random.choice(names))
        )
        if address is not None and message.parts:
            self._peer_endpoint.send(message, address)
        for part_hash in part_hashes:
            self._count_round(part_hash)

    def _collect_news(self, peer_count: int) -> None:
        rounds = EXTRA_ROUNDS + math.ceil(math.log2(peer_count + 1))
        for part_hash in self._evidence.changed_parts:
            self._rounds_left[part_hash] = rounds
        self._evidence.changed_parts.clear()

    def _count_round(self, part_hash: int) -> None:
        left = self._rounds_left.get(part_hash, 0) - 1
        if left > 0:
            self._rounds_left[part_hash] = left
        else:
            self._rounds_left.pop(part_hash, None)

    def _choose_news(self) -> list[int]:
        """Returns the parts with news, those with the most crashes first."""
        return sorted(self._rounds_left, key=self._count_crashes, reverse=True)[
            :PARTS_PER_MESSAGE_MAX
        ]

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
            reports += len(known.crashes) + len(known.begun_at)
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
    known: crash_evidence.PartEvidence, now: float
) -> messages.PartReport:
    return messages.PartReport(
        known.part_hash,
        [
            messages.CrashReport(
                crash.run_hash, crash.version_hash, _to_age_ms(crash.at, now)
            )
            for crash in known.crashes
        ],
        [
            messages.BeginReport(version_hash, _to_age_ms(at, now))
            for version_hash, at in known.begun_at.items()
        ],
        _to_age_ms(known.used_at, now),
    )


def _decode_part(
    report: messages.PartReport, now: float
) -> crash_evidence.PartEvidence:
    """Returns a peer's evidence, with ages that are limited."""
    return crash_evidence.PartEvidence(
        report.part_hash,
        tuple(
            crash_evidence.Crash(
                crash.run_hash,
                crash.version_hash,
                now - _to_age_s(crash.age_ms),
            )
            for crash in report.crashes[-crash_evidence.CRASHES_PER_PART_MAX :]
        ),
        {
            begin.version_hash: now - _to_age_s(begin.age_ms)
            for begin in report.begins[-crash_evidence.CRASHES_PER_PART_MAX :]
        },
        now - _to_age_s(report.used_age_ms),
    )


def _to_age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * _MS_PER_S))


def _to_age_s(age_ms: int) -> float:
    return min(AGE_MAX_S, max(0.0, age_ms / _MS_PER_S))
