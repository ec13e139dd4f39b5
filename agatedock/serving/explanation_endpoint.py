"""HTTP endpoint of explanations, for operators."""

from __future__ import annotations

from collections.abc import Mapping

from aiohttp import web
import msgspec

from agatedock.domain import requests
from agatedock.serving import explanation
from agatedock.serving import state

PATH = "/placement"


def parse_query(parameters: Mapping[str, str]) -> explanation.Query:
    """Returns the query in the parameters of a URL.

    Raises:
      explanation.UnknownNameError: A prompt part is malformed.
    """
    parts = []
    for item in filter(None, parameters.get("prefix", "").split(",")):
        part_id, _, tokens = item.partition(":")
        if not part_id or not tokens.isdecimal():
            raise explanation.UnknownNameError(
                f"prompt part {item!r} is not ID:TOKENS"
            )
        parts.append(requests.PromptPart(part_id, int(tokens)))
    return explanation.Query(
        route=parameters.get("route", ""),
        account=parameters.get("account", ""),
        prompt=tuple(parts),
        domain=parameters.get("domain", ""),
    )


def serve(
    shared: state.SharedState, parameters: Mapping[str, str], now: float
) -> web.Response:
    """Returns an explanation as JSON, or status 400 for an unknown name."""
    try:
        found = explanation.Explainer(shared, now).explain(
            parse_query(parameters)
        )
    except explanation.UnknownNameError as error:
        return web.Response(status=400, text=str(error))
    return web.Response(
        body=msgspec.json.encode(found), content_type="application/json"
    )
