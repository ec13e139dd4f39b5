"""Typed messages of one chat request on its way to an engine."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

# An engine computes about this many prompt tokens in the time in which it
# generates one.
PROMPT_TOKENS_PER_WORK = 20


@dataclasses.dataclass(frozen=True)
class ChatCall:
    """A chat request as the entry router passes it to an engine's home.

    Attributes:
      rank: Index of the rank, 0 most urgent.
      prompt_tokens: Estimated length of the prompt.
      answer_tokens: Largest length of the answer.
      weight: Fair share weight of the account.
      chat: Key that is the same for all turns of a chat.
      engine: Engine asked for.
      diverted: True if another engine's home sent the request here.
      may_divert: Whether a full engine may name another one.
      excluded: Engines that already turned the request away.
      offset: Events of the answer that the caller already has.
      returning: Whether the chat has had an answer before.
      preemptions: How often the request gave way to more urgent work.
      deadline: Monotonic time in seconds on this process at which the
        rank's target for the first token passes.
    """

    request_id: str
    account: str
    model: str
    rank: int
    prompt_tokens: int
    answer_tokens: int
    weight: float
    chat: str
    engine: str
    diverted: bool
    may_divert: bool
    excluded: tuple[str, ...]
    offset: int
    preemptions: int
    returning: bool
    deadline: float
    body: bytes

    @property
    def work_tokens(self) -> int:
        """Returns the largest work in generated tokens."""
        return self.work_of(self.answer_tokens)

    def caller_id(self) -> str:
        """Returns the id by which the caller knows the request."""
        return self.request_id.rpartition(".")[0] or self.request_id

    def work_of(self, answer_tokens: int) -> int:
        """Returns the work of an answer of some length, in its tokens."""
        return self.prompt_tokens // PROMPT_TOKENS_PER_WORK + answer_tokens


class Outcome(enum.StrEnum):
    """Ways in which a home turns a request away."""

    DIVERT = "divert"
    NOT_HOME = "not_home"
    REFUSED = "refused"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Answer of a home that did not run a request.

    Attributes:
      engine: For DIVERT the engine to try; else the engine asked for.
      reason: Short text for operators.
      retry_after_ms: For REFUSED when a repeat makes sense.
      not_run: False if the engine may have received the request.
    """

    outcome: Outcome
    engine: str
    reason: str
    retry_after_ms: int = 0
    not_run: bool = True


class BadCall(Exception):  # noqa: N818
    """A call from a peer that does not decode."""


CALL_HEADER = "X-Agatedock-Call"


def encode_head(call: ChatCall, now: float) -> str:
    """Returns the header that carries a call, without its body, to a peer."""
    # Clocks differ between VMs, so the time that is left goes over the wire.
    left_s = round(call.deadline - now, 3)
    head = dataclasses.replace(call, deadline=left_s, body=b"")
    return msgspec.json.encode(head).decode()


def decode_call(header: str, body: bytes, now: float) -> ChatCall:
    """Returns the call that a peer sent.

    Raises:
      BadCall: The header does not decode.
    """
    try:
        head = msgspec.json.decode(header.encode(), type=ChatCall)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise BadCall(str(error)) from None
    return dataclasses.replace(head, deadline=now + head.deadline, body=body)


def encode_verdict(verdict: Verdict) -> bytes:
    """Returns the JSON of a verdict."""
    return msgspec.json.encode(verdict)


def decode_verdict(data: bytes) -> Verdict:
    """Returns the verdict that a peer sent.

    Raises:
      msgspec.MsgspecError: The data does not decode.
    """
    return msgspec.json.decode(data, type=Verdict)
