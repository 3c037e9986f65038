"""OpenTelemetry instruments of an entry; docs/metrics.md lists them."""

import datetime as dt

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource

_REGISTERED: list[PrometheusMetricReader] = []


class Metrics:
    """The instruments of one process.

    :param entry: Name of the entry, an attribute of every series.
    :param is_exported: Whether the series are kept for a Prometheus scrape.
    """

    def __init__(self, entry: str, is_exported: bool = False) -> None:
        readers = [PrometheusMetricReader()] if is_exported else []
        _REGISTERED.extend(readers)
        resource = Resource.create({"service.name": "fighead", "entry": entry})
        provider = MeterProvider(metric_readers=readers, resource=resource)
        meter = provider.get_meter("fighead")
        self._store_calls = meter.create_counter(
            "fighead.store.calls", "1", "Calls to the key-value service by path."
        )
        self._requests = meter.create_counter(
            "fighead.requests", "1", "Requests by upstream, kind and outcome."
        )
        self._latency = meter.create_histogram(
            "fighead.check.duration", "s", "Time from arrival to answer of a check."
        )
        self._retries = meter.create_counter(
            "fighead.retries", "1", "Checks offered a second time."
        )
        self._evictions = meter.create_counter(
            "fighead.evictions", "1", "Watches evicted from an instance."
        )
        self._applied = meter.create_gauge(
            "fighead.revision", "1", "Revision of the inventory in force."
        )

    def count_store_call(self, path: str) -> None:
        """Count one call to the key-value service."""
        self._store_calls.add(1, {"path": path})

    def count_request(self, upstream: str, kind: str, outcome: str) -> None:
        """Count one request by its outcome."""
        attributes = {"upstream": upstream, "kind": kind, "outcome": outcome}
        self._requests.add(1, attributes)

    def time_check(self, upstream: str, kind: str, took: dt.timedelta) -> None:
        """Record how long a check took."""
        attributes = {"upstream": upstream, "kind": kind}
        self._latency.record(took.total_seconds(), attributes)

    def count_retry(self, upstream: str) -> None:
        """Count a check that was offered again."""
        self._retries.add(1, {"upstream": upstream})

    def count_eviction(self, upstream: str) -> None:
        """Count an eviction."""
        self._evictions.add(1, {"upstream": upstream})

    def note_revision(self, number: int) -> None:
        """Record the revision in force."""
        self._applied.set(number)
