"""Metrics of one process in the Prometheus format."""

from __future__ import annotations

from aiohttp import web
import aioprometheus

_NO_LABELS: dict[str, str] = {}
# Upper bounds of the buckets of the latency histograms.
_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0)


class Metrics:
    """Counters, histograms and gauges of a router."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self.requests = self._add_counter(
            "agatedock_requests", "Requests by service and outcome."
        )
        self.placements = self._add_counter(
            "agatedock_placements",
            "Requests placed, by service and by what said that there is room.",
        )
        self.quarantined = self._add_counter(
            "agatedock_quarantined_requests",
            "Requests refused as their prompt crashes replicas, by part.",
        )
        self.answer_s = aioprometheus.Histogram(
            "agatedock_answer_seconds",
            "Seconds from a request to the end of its answer, by service.",
            registry=self._registry,
            buckets=_BUCKETS_S,
        )
        self.first_event_s = aioprometheus.Histogram(
            "agatedock_first_event_seconds",
            "Seconds from a request to the first event of its stream.",
            registry=self._registry,
            buckets=_BUCKETS_S,
        )
        self.gauges: dict[str, aioprometheus.Gauge] = {}

    def _add_counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, help_text, registry=self._registry)

    def set_gauge(
        self, name: str, value: float, labels: dict[str, str] | None = None
    ) -> None:
        """Sets a gauge; the first call with a name creates it."""
        if name not in self.gauges:
            self.gauges[name] = aioprometheus.Gauge(
                name, name.replace("_", " "), registry=self._registry
            )
        self.gauges[name].set(labels or _NO_LABELS, value)

    def render(self, accept: list[str]) -> web.Response:
        """Returns the response to a scrape.

        Args:
          accept: Values of the `Accept` header, which select the format.
        """
        body, headers = aioprometheus.render(self._registry, accept)
        return web.Response(body=body, headers=headers)
