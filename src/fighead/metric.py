"""OpenTelemetry instruments of an entry, listed in docs/metrics.md."""

import datetime as dt

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource

#: References that keep the readers from garbage collection.
_READERS: list[PrometheusMetricReader] = []


class Metrics:
    """Instruments of one entry.

    :param entry: Name of the entry, a resource attribute of its metrics.
    :param is_exported: Whether to register the metrics with the Prometheus client
        of this process; otherwise they are discarded.
    """

    def __init__(self, entry: str, is_exported: bool = False) -> None:
        readers = [PrometheusMetricReader()] if is_exported else []
        _READERS.extend(readers)
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
        self._limited_clients = meter.create_counter(
            "fighead.clients.limited", "1", "Clients' connections closed, by reason."
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
        """Count one call to the key-value service by its URL path."""
        self._store_calls.add(1, {"path": path})

    def count_request(self, upstream: str, kind: str, outcome: str) -> None:
        """Count one request.

        :param outcome: Name of the outcome's class in lower case.
        """
        attributes = {"upstream": upstream, "kind": kind, "outcome": outcome}
        self._requests.add(1, attributes)

    def record_check_duration(
        self, upstream: str, kind: str, took: dt.timedelta
    ) -> None:
        """Record the duration of a check.

        :param took: Time from its arrival to its answer.
        """
        attributes = {"upstream": upstream, "kind": kind}
        self._latency.record(took.total_seconds(), attributes)

    def count_limited_client(self, reason: str) -> None:
        """Count a connection that was closed since it took too much."""
        self._limited_clients.add(1, {"reason": reason})

    def count_retry(self, upstream: str) -> None:
        """Count a check that is offered again after a failed offer."""
        self._retries.add(1, {"upstream": upstream})

    def count_eviction(self, upstream: str) -> None:
        """Count the eviction of a watch from an instance."""
        self._evictions.add(1, {"upstream": upstream})

    def set_revision(self, number: int) -> None:
        """Record the number of the inventory revision that the entry works by."""
        self._applied.set(number)
