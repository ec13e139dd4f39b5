"""HTTP endpoints for peers and operators on the peer port."""

from __future__ import annotations

import json

from aiohttp import web
import msgspec
import pydantic

from agatedock import metrics
from agatedock.fleet import documents
from agatedock.native import catalog
from agatedock.native import native_configuration
from agatedock.native import recent_requests
from agatedock.peers import relay
from agatedock.serving import dump
from agatedock.serving import explanation_endpoint
from agatedock.serving import router as routers

CONFIG_PATH = "/config"
EXPLAIN_PREFIX = "/explain/"
METRICS_PATH = "/metrics"


class Admin:
    """Handles HTTP requests on the peer port."""

    def __init__(
        self,
        fleet_catalog: catalog.Catalog,
        recent: recent_requests.RecentRequests,
        process_metrics: metrics.Metrics,
    ) -> None:
        self._catalog = fleet_catalog
        self._recent_requests = recent
        self._metrics = process_metrics
        # Set by app.RouterApp, since the router is created after this.
        self.router: routers.Router

    async def handle(self, raw: web.BaseRequest, body: bytes) -> web.Response:
        """Returns the response to one request; status 404 for other paths."""
        path = raw.path
        if path == relay.LISTING_PATH:
            return self.router.serve_listing(raw)
        if path == dump.PATH:
            return web.Response(
                text=self.dump(), content_type="application/json"
            )
        if path == explanation_endpoint.PATH:
            shared = self.router.shared
            return explanation_endpoint.serve(shared, raw.query, shared.now())
        if path.startswith(EXPLAIN_PREFIX):
            return _make_json_response(
                self._recent_requests.get(path.removeprefix(EXPLAIN_PREFIX))
            )
        if path == METRICS_PATH:
            self.router.set_gauges(self._metrics)
            return self._metrics.render(raw.headers.getall("Accept", []))
        if path == CONFIG_PATH and raw.method == "POST":
            return self._apply_submitted_configuration(body)
        if path == CONFIG_PATH:
            return self._send_configuration()
        return web.Response(status=404)

    def dump(self) -> str:
        """Returns the state of this process and its alarms as JSON."""
        state = msgspec.to_builtins(dump.collect_dump(self.router))
        alarms = msgspec.to_builtins(list(self._catalog.alarms))
        return json.dumps({**state, "alarms": alarms})

    def _send_configuration(self) -> web.Response:
        current = self.router.shared.configuration_view.current
        if not isinstance(current, native_configuration.NativeConfiguration):
            return web.Response(status=404, text="no configuration yet")
        return web.Response(
            body=documents.encode(current.document),
            content_type="application/json",
        )

    def _apply_submitted_configuration(self, body: bytes) -> web.Response:
        """Applies a submitted configuration before the next snapshot has it.

        Returns status 400 if it is invalid, otherwise the outcome as JSON.
        """
        try:
            document = documents.decode(body)
        except pydantic.ValidationError as error:
            return web.Response(status=400, text=str(error))
        outcome = self._catalog.update_configuration(document, "operator")
        newest = self._catalog.newest_configuration
        if outcome is catalog.UpdateOutcome.APPLIED and newest is not None:
            self.router.follower.apply_accepted(newest)
        return web.Response(
            text=json.dumps({"outcome": outcome.value}),
            content_type="application/json",
        )


def _make_json_response(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
