"""A chat request as callers send it and as it is served."""

from __future__ import annotations

import dataclasses
import json

import pydantic
import xxhash

from agatedock import answers
from agatedock import calls
from agatedock import errors
from agatedock import intake
from agatedock import relay

CHARS_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 256


class Message(pydantic.BaseModel):
    """One message of a chat."""

    role: str
    content: str


class ChatRequest(pydantic.BaseModel):
    """Body of a chat request, in the form usual for model engines."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str
    messages: list[Message] = pydantic.Field(min_length=1)
    max_tokens: int = pydantic.Field(DEFAULT_ANSWER_TOKENS, ge=1, le=32768)
    stream: bool = False


@dataclasses.dataclass
class Plan:
    """A chat request being served.

    Attributes:
      caller: Who asked.
      body: The request as engines understand it.
      call: The call with all that does not change on the way.
      started: Monotonic time in seconds of acceptance.
      deadline: Monotonic time in seconds up to which an engine is looked for.
      checker: Follows the answer.
      stream: Open answer of the engine that runs the request.
      first: Engine that the chat prefers; its home decides on diversions.
      first_token_at: Monotonic time in seconds of the first token.
      maybe_run: True once an engine may have received the request.
      preemptions: How often the request gave way to other work.
      excluded: Engines that turned the request away.
    """

    caller: intake.Caller
    body: dict
    call: calls.ChatCall
    started: float
    deadline: float
    checker: answers.Checker
    stream: relay.Stream | None = None
    first: str = ""
    first_token_at: float = 0.0
    maybe_run: bool = False
    preemptions: int = 0
    excluded: list[str] = dataclasses.field(default_factory=list)

    def make_call(self, engine: str) -> calls.ChatCall:
        """Returns the call for one engine, with what was passed so far."""
        body = self.body
        if self.checker.events:
            so_far = {
                "text": self.checker.text(),
                "events": self.checker.events,
            }
            body = {**body, "continue": so_far}
        return dataclasses.replace(
            self.call,
            engine=engine,
            diverted=engine != self.first,
            excluded=tuple(self.excluded),
            offset=self.checker.events,
            preemptions=self.preemptions,
            deadline=self.deadline,
            body=json.dumps(body).encode(),
        )


def parse(data: bytes) -> ChatRequest:
    """Returns the request in a caller's body.

    Raises:
      errors.Refusal: With everything that is wrong with it.
    """
    try:
        return ChatRequest.model_validate_json(data)
    except pydantic.ValidationError as error:
        findings = "; ".join(
            f"{'.'.join(str(p) for p in e['loc']) or 'body'}: {e['msg']}"
            for e in error.errors()
        )
        raise errors.Refusal(errors.Code.BAD_REQUEST, findings) from None


def estimate_prompt(wanted: ChatRequest) -> int:
    """Estimates the length of a prompt in tokens."""
    chars = sum(len(message.content) for message in wanted.messages)
    return chars // CHARS_PER_TOKEN


def make_chat_key(caller: intake.Caller, wanted: ChatRequest) -> str:
    """Returns a key that all turns of a chat share.

    Without a chat id the opening of the chat stands for it, since every
    later turn repeats it.
    """
    opening = caller.chat_id
    if not opening:
        first = [
            m.content for m in wanted.messages[:2] if m.role != "assistant"
        ]
        opening = "\0".join(first)
    return f"{caller.account}/{xxhash.xxh3_64_hexdigest(opening.encode())}"
