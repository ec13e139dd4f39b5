"""The configuration in force at this router, which never goes back."""

from __future__ import annotations

import collections
import dataclasses
import enum
import json
import logging

from agatedock import delta
from agatedock import fleet
from agatedock import logs
from agatedock import resolve

DELTAS_KEPT = 500

_log = logging.getLogger(__name__)


class Offer(enum.StrEnum):
    """What became of a document that was offered."""

    TAKEN = "taken"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


@dataclasses.dataclass(frozen=True)
class Alarm:
    """A sign that some source holds another history than this router.

    Attributes:
      source: Peer or service that showed the revision.
    """

    source: str
    revision: int
    message: str


class View:
    """Holds the document in force and the deltas that led to it."""

    def __init__(self) -> None:
        self.document = fleet.Document()
        self.resolver = resolve.Resolver(self.document)
        self.digest = fleet.digest(self.document)
        self.alarms: collections.deque[Alarm] = collections.deque(maxlen=20)
        self._deltas: collections.OrderedDict[int, delta.Delta] = (
            collections.OrderedDict()
        )

    @property
    def revision(self) -> int:
        """Returns the revision in force."""
        return self.document.revision

    def offer(
        self,
        document: fleet.Document,
        source: str,
        step: delta.Delta | None = None,
    ) -> Offer:
        """Puts a newer document in force; refuses all others.

        Args:
          document: The document.
          source: Where it came from.
          step: The delta that led to it, if it is known.
        """
        if document.revision < self.revision:
            return Offer.OLDER
        if document.revision == self.revision:
            if fleet.digest(document) == self.digest:
                return Offer.SAME
            self.raise_alarm(source, document.revision, "revision forked")
            return Offer.FORKED
        if step is None:
            step = delta.compute(self.document, document)
        self._deltas[self.revision] = step
        while len(self._deltas) > DELTAS_KEPT:
            self._deltas.popitem(last=False)
        self.document = document
        self.resolver = resolve.Resolver(document)
        self.digest = step.digest
        logs.event(
            _log,
            "config_in_force",
            revision=document.revision,
            source=source,
            author=document.author,
        )
        return Offer.TAKEN

    def raise_alarm(self, source: str, revision: int, message: str) -> None:
        """Notes that a source must not be followed, once for each sign."""
        alarm = Alarm(source, revision, message)
        if alarm in self.alarms:
            return
        self.alarms.append(alarm)
        logs.event(
            _log,
            "config_alarm",
            logging.ERROR,
            source=source,
            revision=revision,
            in_force=self.revision,
            problem=message,
        )

    def deltas_since(self, revision: int) -> list[bytes] | None:
        """Returns the JSON deltas after a revision, None if not all known."""
        steps = []
        while revision < self.revision:
            step = self._deltas.get(revision)
            if step is None:
                return None
            steps.append(json.dumps(dataclasses.asdict(step)).encode())
            revision = self._next_revision(step)
        return steps

    def _next_revision(self, step: delta.Delta) -> int:
        return int(step.fields.get("revision", step.base + 1))

    def offer_deltas(self, steps: list[bytes], source: str) -> bool:
        """Applies deltas in order; False if one does not fit."""
        for data in steps:
            step = delta.Delta(**json.loads(data))
            if step.base < self.revision:
                continue
            document = delta.apply(self.document, step)
            if document is None:
                return False
            self.offer(document, source, step)
        return True
