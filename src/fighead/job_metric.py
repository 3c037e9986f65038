"""OpenTelemetry instruments of an entry that schedules jobs; see docs/metrics.md."""

import datetime as dt
import typing as t

from klein import Klein
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest

from .log import Event


class JobMetrics:
    """The instruments of one process.

    Labels are names of queues, phases and kinds of ends, so their number is
    bounded by the configuration.

    :param entry: Name of the entry, an attribute of every series.
    """

    def __init__(self, entry: str) -> None:
        reader = PrometheusMetricReader()
        resource = Resource.create({"service.name": "fighead", "entry": entry})
        provider = MeterProvider(metric_readers=[reader], resource=resource)
        meter = provider.get_meter("fighead")
        self._requests = meter.create_counter(
            "fighead.job.requests", "1", "Submissions by queue and outcome."
        )
        self._accept_time = meter.create_histogram(
            "fighead.job.accept.duration", "s", "Time until a submission is answered."
        )
        self._jobs = meter.create_counter(
            "fighead.jobs.ended", "1", "Jobs that ended, by queue and phase."
        )
        self._job_time = meter.create_histogram(
            "fighead.job.duration", "s", "Time from acceptance to the stored end."
        )
        self._runs = meter.create_counter(
            "fighead.run.events", "1", "Runs ordered, ended, adopted, moved and so on."
        )
        self._instances = meter.create_counter(
            "fighead.instance.events", "1", "Instances silent, suspected, lost."
        )
        self._store_failures = meter.create_counter(
            "fighead.store.failures", "1", "Calls to the store that failed."
        )
        self._leading = meter.create_gauge(
            "fighead.leading", "1", "1 while this entry schedules."
        )
        self._version = meter.create_gauge(
            "fighead.config.version", "1", "Version of the configuration in force."
        )

    def count_request(self, queue: str, outcome: str, took: dt.timedelta) -> None:
        """Count a submission and the time until its answer."""
        self._requests.add(1, {"queue": queue, "outcome": outcome})
        self._accept_time.record(took.total_seconds(), {"queue": queue})

    def count_end(self, queue: str, phase: str, took: dt.timedelta) -> None:
        """Count a job whose end is stored."""
        self._jobs.add(1, {"queue": queue, "phase": phase})
        self._job_time.record(took.total_seconds(), {"queue": queue})

    def count_event(self, event: Event, fields: t.Mapping[str, t.Any]) -> None:
        """Count a decision about a run or an instance."""
        name = event.name.lower()
        if name.startswith(("run_", "start_")):
            kind = str(fields.get("kind", ""))
            self._runs.add(1, {"event": name, "kind": kind})
        elif name.startswith("instance_"):
            self._instances.add(1, {"event": name})

    def count_store_failure(self, what: str) -> None:
        """Count a call to the store that failed."""
        self._store_failures.add(1, {"what": what})

    def note_leading(self, is_leading: bool) -> None:
        """Record whether this entry schedules."""
        self._leading.set(int(is_leading))

    def note_version(self, version: int) -> None:
        """Record the version of the configuration in force."""
        self._version.set(version)


def make_metrics_app() -> Klein:
    """Return the application that serves the metrics as text."""
    app = Klein()

    @app.route("/metrics", methods=["GET"])
    def metrics(request: t.Any) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return generate_latest()

    return app
