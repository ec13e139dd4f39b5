"""Rate limits of replicas, as known to this router.

A replica names a limit in its answers, or it is cold and takes few requests.

What this router reads in answers itself is kept apart from what peers report. A
peer's report makes this router query the owner before it sends a request, but
only an own answer makes the owner's denial final. So no peer can put a replica
out of use. That a replica is cold is known from the listing, at first hand.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from agatedock import hashing
from agatedock.decisions import rate_limits
from agatedock.domain import replicas
from agatedock.views import cold_replicas
from agatedock.views import crash_reports

# Runs of replicas that are remembered; the least recent are dropped.
RUNS_MAX = 1000
# Age up to which a limit counts as being in force for the mean load.
RECENT_S = 2.0
_HASH_RANGE = 2**32


@dataclasses.dataclass(slots=True)
class _Evidence:
    """What is known of one run.

    Attributes:
      lifetime: The run that was listed when it answered.
      answered_at_ms: Unix time of its latest answer in milliseconds.
      own: From answers to this router; None without any.
      heard: From peers; None without any.
      closed_until: Time in seconds until which the owner grants no request.
      local_share: What this router sends while the owner does not reply; None
        if it replied last.
    """

    lifetime: replicas.Lifetime
    answered_at_ms: int = 0
    own: rate_limits.Observation | None = None
    heard: rate_limits.Observation | None = None
    closed_until: float = float("-inf")
    local_share: rate_limits.LocalShare | None = None

    def applies_to(self, replica: replicas.Replica) -> bool:
        """Returns whether this is evidence about a run."""
        return (
            replica.lifetime == self.lifetime
            or replica.may_have_answered_for(self.lifetime, self.answered_at_ms)
        )

    @property
    def latest(self) -> rate_limits.Observation | None:
        """Returns the newest observation."""
        if self.own is not None and self.own.is_newer_than(self.heard):
            return self.own
        return self.heard


class ReplicaLimits:
    """Rate limits by replica.

    A later run under the same id or address has none.

    Attributes:
      router_name: Name of this router.
      denied_count: Requests for which an owner denied a replica, so far.
    """

    def __init__(
        self,
        get_by_hash: Callable[[int], replicas.Replica | None],
        cold: cold_replicas.ColdReplicas | None = None,
    ) -> None:
        """Creates a view without limits.

        Args:
          get_by_hash: Returns the replica with a hash of its id.
          cold: The cold replicas; None if none ever is.
        """
        self._get_by_hash = get_by_hash
        self._cold = cold or cold_replicas.ColdReplicas()
        self.router_name = ""
        self._evidence: collections.OrderedDict[str, _Evidence] = (
            collections.OrderedDict()
        )
        self.denied_count = 0

    def record_answer(
        self,
        replica: replicas.Replica,
        rate: float | None,
        sent_at: float,
        now: float,
        wall_ms: int,
    ) -> bool:
        """Records what the head of an answer says.

        Args:
          replica: The replica that the request was sent to.
          rate: The limit that it names; None if it names none.
          sent_at: When the request was sent, in seconds.
          now: Present time in seconds.
          wall_ms: Present time in Unix milliseconds.

        Returns:
          Whether the limit differs from the one known before.
        """
        evidence = self._find(replica)
        if evidence is None:
            if rate is None:
                return False
            evidence = self._add(replica)
        at = sent_at if rate is None else now
        observation = rate_limits.Observation(rate, at)
        before = evidence.latest
        if not observation.is_newer_than(evidence.own):
            return False
        evidence.own = observation
        evidence.answered_at_ms = wall_ms
        latest = evidence.latest
        return (before.rate if before else None) != (
            latest.rate if latest else None
        )

    def record_report(
        self,
        replica_hash: int,
        run_hash: int,
        observation: rate_limits.Observation,
    ) -> None:
        """Records what a peer reports of a run."""
        replica = self._get_by_hash(replica_hash)
        if replica is None or crash_reports.hash_run(replica) != run_hash:
            return
        evidence = self._find(replica)
        if evidence is None:
            if observation.rate is None:
                return
            evidence = self._add(replica)
        if observation.is_newer_than(evidence.heard):
            evidence.heard = observation

    def record_denial(
        self, replica: replicas.Replica, wait_s: float, now: float
    ) -> None:
        """Records that the owner grants no request for some time."""
        self.denied_count += 1
        evidence = self._find(replica)
        if evidence is None and self._cold.find(replica, now) is not None:
            evidence = self._add(replica)
        if evidence is not None:
            evidence.closed_until = now + wait_s

    def record_owner_reply(self, replica: replicas.Replica) -> None:
        """Records that the owner of the replica's count replied."""
        evidence = self._find(replica)
        if evidence is not None:
            evidence.local_share = None

    def take_local_share(
        self, replica: replicas.Replica, router_count: int, now: float
    ) -> bool:
        """Returns whether a request may be sent though the owner is silent.

        Args:
          replica: The replica.
          router_count: Number of routers, this one included.
          now: Present time in seconds.
        """
        rate = self._get_first_hand_rate(replica, now)
        if rate is None:
            return False
        evidence = self._find(replica) or self._add(replica)
        if evidence.local_share is None:
            name = f"{self.router_name} {replica.replica_id}"
            phase = hashing.hash_name(name) / _HASH_RANGE
            evidence.local_share = rate_limits.LocalShare(phase, now)
        return evidence.local_share.take(rate, router_count, now)

    def _get_first_hand_rate(
        self, replica: replicas.Replica, now: float
    ) -> float | None:
        """Returns the limit that an own answer or the listing tells of."""
        evidence = self._find(replica)
        own = None if evidence is None else evidence.own
        cold_time = self._cold.find(replica, now)
        rates = [
            None if own is None else own.rate,
            None if cold_time is None else cold_time.rate,
        ]
        return min((rate for rate in rates if rate is not None), default=None)

    def get_cold_rate(self, replica_hash: int, now: float) -> float | None:
        """Returns the requests per second that a cold replica takes.

        Returns None if it is not cold.
        """
        cold_time = self._cold.find(self._get_by_hash(replica_hash), now)
        return None if cold_time is None else cold_time.rate

    def describe(
        self, replica_hash: int
    ) -> tuple[int, rate_limits.Observation | None]:
        """Returns the hash of a replica's run and the newest observation."""
        replica = self._get_by_hash(replica_hash)
        if replica is None:
            return 0, None
        evidence = self._find(replica)
        latest = None if evidence is None else evidence.latest
        return crash_reports.hash_run(replica), latest

    def get_rate(self, replica: replicas.Replica, now: float) -> float | None:
        """Returns the limit of a replica, None if it has none."""
        evidence = self._find(replica)
        latest = None if evidence is None else evidence.latest
        named = None if latest is None else latest.rate
        cold_time = self._cold.find(replica, now)
        if cold_time is None:
            return named
        return cold_time.rate if named is None else min(named, cold_time.rate)

    def list_unlimited(
        self, candidates: list[replicas.Replica], now: float
    ) -> list[replicas.Replica]:
        """Returns the replicas without a limit, in the same order."""
        return [item for item in candidates if self.get_rate(item, now) is None]

    def list_recently_limited(
        self, candidates: list[replicas.Replica], now: float
    ) -> frozenset[str]:
        """Returns the ids of replicas that had a limit a moment ago.

        A router that seldom reaches a replica hears late that a limit ended.
        """
        if not self._evidence:
            return frozenset()
        return frozenset(
            item.replica_id
            for item in candidates
            if self._was_limited_since(item, now - RECENT_S)
        )

    def _was_limited_since(
        self, replica: replicas.Replica, since: float
    ) -> bool:
        evidence = self._find(replica)
        latest = None if evidence is None else evidence.latest
        return (
            latest is not None
            and latest.rate is not None
            and latest.at >= since
        )

    def is_binding(self, replica: replicas.Replica, now: float) -> bool:
        """Returns whether this router knows of a limit at first hand.

        An answer to it named the limit in force, or the replica is cold.
        """
        if self._cold.find(replica, now) is not None:
            return True
        evidence = self._find(replica)
        if evidence is None or evidence.own is None:
            return False
        latest = evidence.latest
        return (
            evidence.own.rate is not None
            and latest is not None
            and latest.rate is not None
        )

    def list_open(
        self, available: list[replicas.Replica], now: float
    ) -> list[replicas.Replica]:
        """Returns the replicas that may get a request now, in the same order.

        Left out are those whose limit binds this router and whose owner grants
        none at present.
        """
        if not self._evidence:
            return available
        return [item for item in available if self._get_wait_s(item, now) <= 0]

    def compute_wait_s(
        self, available: Iterable[replicas.Replica], now: float
    ) -> float:
        """Returns the seconds until the first of some replicas is open."""
        waits_s = (self._get_wait_s(item, now) for item in available)
        return min(waits_s, default=0.0)

    def find_answer_age_s(
        self, available: Iterable[replicas.Replica], now: float
    ) -> float:
        """Returns the age of the newest own answer that named a limit.

        It is infinite if the replicas are only cold.
        """
        ages_s = (
            now - evidence.own.at
            for evidence in map(self._find, available)
            if evidence is not None and evidence.own is not None
        )
        return min(ages_s, default=float("inf"))

    def count(self) -> int:
        """Returns the number of runs that have a limit."""
        return sum(
            evidence.latest is not None and evidence.latest.rate is not None
            for evidence in self._evidence.values()
        )

    def _get_wait_s(self, replica: replicas.Replica, now: float) -> float:
        evidence = self._find(replica)
        if evidence is None or not self.is_binding(replica, now):
            return 0.0
        return max(0.0, evidence.closed_until - now)

    def _find(self, replica: replicas.Replica) -> _Evidence | None:
        evidence = self._evidence.get(replica.replica_id)
        if evidence is None or not evidence.applies_to(replica):
            return None
        return evidence

    def _add(self, replica: replicas.Replica) -> _Evidence:
        evidence = _Evidence(replica.lifetime)
        self._evidence[replica.replica_id] = evidence
        self._evidence.move_to_end(replica.replica_id)
        while len(self._evidence) > RUNS_MAX:
            self._evidence.popitem(last=False)
        return evidence
