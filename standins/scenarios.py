"""Two scenarios: fleets of present size and a session of requests each."""

from __future__ import annotations

import dataclasses

from standins import fleet


@dataclasses.dataclass(frozen=True)
class ChatTurn:
    """One turn of a chat; an empty `chat` stands for a single request."""

    request_id: str
    account: str
    work: str
    chat: str
    text: str


@dataclasses.dataclass(frozen=True)
class KeyedRequest:
    """A non-idempotent request with an idempotency key.

    Attributes:
      repeats: How many times the client sends it.
    """

    request_id: str
    account: str
    path: str
    body: str
    key: str
    repeats: int = 2


@dataclasses.dataclass(frozen=True)
class IdempotentRequest:
    """An idempotent request."""

    request_id: str
    account: str
    path: str


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A fleet and one session of requests to it."""

    name: str
    model: str
    service: str
    spec: fleet.FleetSpec
    session: tuple[ChatTurn | KeyedRequest | IdempotentRequest, ...]


def _make_spec(
    domains: tuple[str, ...],
    model: str,
    service: str,
    replicas: int,
    works: dict[str, str],
    accounts: tuple[str, ...],
) -> fleet.FleetSpec:
    document = {
        "models": [{"name": model}],
        "services": [{"name": service}],
        "works": works,
        "accounts": list(accounts),
        "exceptions": [
            {
                "id": "largest-account",
                "match": {"account": accounts[0]},
                "set": {"account_weight": 2.0},
                "reason": "pays for twice the share",
                "author": "operators",
            }
        ],
    }
    domains_of = lambda count: tuple(  # noqa: E731
        domains[i % len(domains)] for i in range(count)
    )
    return fleet.FleetSpec(
        document=document,
        routers=domains_of(3),
        engines={model: domains_of(6)},
        replicas={service: domains_of(replicas)},
    )


KOLANUT = Scenario(
    name="Kolanut Gifting",
    model="santa-llm",
    service="draw-api",
    spec=_make_spec(
        ("ikeja", "lekki", "yaba", "apapa"),
        "santa-llm",
        "draw-api",
        4,
        {"chat": "urgent", "guide": "normal", "tag": "low"},
        tuple(f"office-{i}" for i in range(10)),
    ),
    session=(
        ChatTurn("guide-1", "office-0", "guide", "hunt-7", "plan a gift hunt"),
        ChatTurn(
            "chat-1", "office-3", "chat", "wishes-2", "what would Ada like"
        ),
        ChatTurn(
            "chat-2", "office-3", "chat", "wishes-2", "and under 5000 naira"
        ),
        ChatTurn(
            "chat-3", "office-3", "chat", "wishes-2", "something for the desk"
        ),
        ChatTurn("tag-1", "office-5", "tag", "", "tag: woven basket"),
        KeyedRequest(
            "draw-1", "office-3", "/draws", '{"exchange": 7}', "draw-7"
        ),
        KeyedRequest(
            "draw-2", "office-5", "/draws", '{"exchange": 8}', "draw-8", 3
        ),
        IdempotentRequest("match-1", "office-3", "/matches/ada"),
    ),
)

NILE_HUSKY = Scenario(
    name="Nile Husky Nutrition Labs",
    model="ration-llm",
    service="kennel-shop",
    spec=_make_spec(
        ("cairo-a", "cairo-b", "cairo-c"),
        "ration-llm",
        "kennel-shop",
        3,
        {"ration-plan": "urgent", "question": "normal", "label-check": "low"},
        tuple(f"kennel-{i}" for i in range(10)),
    ),
    session=(
        ChatTurn("plan-1", "kennel-0", "ration-plan", "season-1", "log " * 400),
        ChatTurn(
            "plan-2", "kennel-0", "ration-plan", "season-1", "race on Friday"
        ),
        ChatTurn("ask-1", "kennel-4", "question", "bag-9", "how much per dog"),
        ChatTurn("ask-2", "kennel-4", "question", "bag-9", "and for puppies"),
        ChatTurn(
            "label-1", "kennel-6", "label-check", "", "label: 30% protein"
        ),
        KeyedRequest(
            "order-1", "kennel-4", "/orders", '{"bags": 12}', "order-33"
        ),
        IdempotentRequest("stock-1", "kennel-4", "/stock/salmon"),
        IdempotentRequest("price-1", "kennel-6", "/prices/salmon"),
    ),
)

SCENARIOS = {"kolanut": KOLANUT, "nile-husky": NILE_HUSKY}
