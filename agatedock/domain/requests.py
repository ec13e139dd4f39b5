"""One request of a client, in a form common to all client APIs."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share, and its size in tokens."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a client.

    Attributes:
      request_id: As the client sent it; empty if it sent none.
      method: HTTP method.
      host: Host that the client addressed, for the choice of the route.
      target: Path and query, exactly as received.
      headers: End-to-end headers that may be forwarded unchanged.
      account_key: API key; empty if none was sent.
      client_timeout_s: How long the client waits; None if it did not say.
      prompt: Parts in order; the last one is private to this request or chat.
      last_event_id: Event after which a stream continues; None for a stream
        from its start.
      arrived_at: Clock reading when the request line was read, in seconds.
      service: The service that the request names; empty if its route decides.
      work: The kind of work that it names; empty if its route decides.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    account_key: str
    client_timeout_s: float | None
    prompt: tuple[PromptPart, ...]
    last_event_id: str | None
    arrived_at: float
    service: str = ""
    work: str = ""

    @property
    def path(self) -> str:
        """Returns the target without its query."""
        return self.target.partition("?")[0]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Returns the parts that other requests may share.

        These are all but the last one; of a prompt with one part, that part.
        """
        return self.prompt[:-1] or self.prompt

    @property
    def affinity_key(self) -> str:
        """Returns the key by which requests of the same cache are placed.

        It is the id of the last shared part; empty without a prompt.
        """
        shared = self.shared_parts
        return shared[-1].part_id if shared else ""
