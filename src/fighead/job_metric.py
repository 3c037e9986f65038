"""OpenTelemetry instruments of an entry that schedules jobs; see docs/metrics.md."""

import datetime as dt
import typing as t

from klein import Klein
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest

from .log import Event
from .process_load import CallCounts, SchedulerLoad

#: Bounds in seconds of the histograms of durations within the event loop.
LOOP_BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class JobMetrics:
    """The metric instruments of one process.

    Labels are names of queues, phases, outcomes and events, so the number of
    series is bounded by the configuration.

    :param entry: Name of the entry, a resource attribute of every series.
    """

    def __init__(self, entry: str) -> None:
        reader = PrometheusMetricReader()
        resource = Resource.create({"service.name": "fighead", "entry": entry})
        provider = MeterProvider(metric_readers=[reader], resource=resource)
        meter = provider.get_meter("fighead")
        self._requests = meter.create_counter(
            "fighead.job.requests", "1", "Submissions by queue and outcome."
        )
        self._unserved = meter.create_counter(
            "fighead.job.unserved", "1", "Answers 503 and 504, by method and status."
        )
        self._refusals = meter.create_counter(
            "fighead.jobs.refused", "1", "Jobs that can't be done in time, by queue."
        )
        self._limited_clients = meter.create_counter(
            "fighead.clients.limited", "1", "Clients' connections closed, by reason."
        )
        self._accept_durations = meter.create_histogram(
            "fighead.job.accept.duration", "s", "Time until a submission is answered."
        )
        self._jobs = meter.create_counter(
            "fighead.jobs.ended", "1", "Jobs that ended, by queue and phase."
        )
        self._job_durations = meter.create_histogram(
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
        self._leading_gauge = meter.create_gauge(
            "fighead.leading", "1", "1 while this entry schedules."
        )
        self._cut_off_gauge = meter.create_gauge(
            "fighead.cutoff", "1", "1 while this entry can't serve, nor by a peer."
        )
        self._version_gauge = meter.create_gauge(
            "fighead.config.version", "1", "Version of the configuration in force."
        )
        self._evacuated_gauge = meter.create_gauge(
            "fighead.zones.evacuated", "1", "Availability zones that are evacuated."
        )
        self._zone_events = meter.create_counter(
            "fighead.zone.events", "1", "Zones evacuated, taken back, not usable."
        )
        self._loop_delays = meter.create_histogram(
            "fighead.loop.delay",
            "s",
            "How late timers fire.",
            explicit_bucket_boundaries_advisory=LOOP_BUCKETS_S,
        )
        self._placement_durations = meter.create_histogram(
            "fighead.placement.duration",
            "s",
            "Duration of a round of placement.",
            explicit_bucket_boundaries_advisory=LOOP_BUCKETS_S,
        )
        self._cpu_time = meter.create_counter(
            "fighead.cpu.time", "s", "Processor time used."
        )
        self._calls = meter.create_counter(
            "fighead.calls", "1", "Calls to the store and to instances."
        )
        self._call_failures = meter.create_counter(
            "fighead.call.failures", "1", "Calls that failed or had no answer in time."
        )
        self._orders = meter.create_counter(
            "fighead.scheduler.orders", "1", "Orders given to instances."
        )
        self._listings = meter.create_counter(
            "fighead.scheduler.listings", "1", "Listings of instances handled."
        )
        self._mailbox_gauge = meter.create_gauge(
            "fighead.scheduler.mailbox", "1", "Messages that wait for the scheduler."
        )
        self._jobs_gauge = meter.create_gauge(
            "fighead.scheduler.jobs", "1", "Jobs in the schedule."
        )
        self._waiting_gauge = meter.create_gauge(
            "fighead.scheduler.waiting", "1", "Tasks that could run and have no run."
        )
        self._write_age_gauge = meter.create_gauge(
            "fighead.scheduler.write.age", "s", "Age of the write in progress."
        )

    def record_loop_delay(self, delay_s: float) -> None:
        """Record by how many seconds a timer was late."""
        self._loop_delays.record(delay_s)

    def record_placement(self, duration_s: float) -> None:
        """Record the duration of a round of placement."""
        self._placement_durations.record(duration_s)

    def count_cpu(self, cpu_s: float) -> None:
        """Count processor time."""
        self._cpu_time.add(cpu_s)

    def count_calls(self, target: str, counts: CallCounts) -> None:
        """Count calls to ``target``, which is ``store`` or ``instances``."""
        self._calls.add(counts.sent, {"target": target})
        for outcome, count in (
            ("failed", counts.failed),
            ("timeout", counts.timed_out),
        ):
            self._call_failures.add(count, {"target": target, "outcome": outcome})

    def set_scheduler_load(self, load: SchedulerLoad | None) -> None:
        """Record the load of the scheduler; ``None`` while another entry schedules."""
        self._mailbox_gauge.set(load.mailbox_length if load else 0)
        self._jobs_gauge.set(load.jobs if load else 0)
        self._waiting_gauge.set(load.waiting_tasks if load else 0)
        self._write_age_gauge.set(load.write_age_s if load else 0.0)
        if load is not None:
            self._orders.add(load.done.orders)
            self._listings.add(load.done.listings)

    def count_request(self, queue: str, outcome: str, took: dt.timedelta) -> None:
        """Count a submission and record the time ``took`` until its answer."""
        self._requests.add(1, {"queue": queue, "outcome": outcome})
        self._accept_durations.record(took.total_seconds(), {"queue": queue})

    def count_unserved(self, method: str, status: int) -> None:
        """Count a request that was answered with ``status``, 503 or above."""
        self._unserved.add(1, {"method": method, "status": status})

    def count_refusal(self, queue: str, limit: str) -> None:
        """Count a job that was refused for want of ``starts`` or ``room``."""
        self._refusals.add(1, {"queue": queue, "limit": limit})

    def count_limited_client(self, reason: str) -> None:
        """Count a connection that was closed since it took too much."""
        self._limited_clients.add(1, {"reason": reason})

    def count_end(self, queue: str, phase: str, took: dt.timedelta) -> None:
        """Count a job whose end is stored, ``took`` after it was accepted."""
        self._jobs.add(1, {"queue": queue, "phase": phase})
        self._job_durations.record(took.total_seconds(), {"queue": queue})

    def count_event(self, event: Event, fields: t.Mapping[str, t.Any]) -> None:
        """Count an event of a run, a zone or an instance; other events are ignored."""
        name = event.name.lower()
        if name.startswith(("run_", "start_")):
            kind = str(fields.get("kind", ""))
            self._runs.add(1, {"event": name, "kind": kind})
        elif name.startswith("zone_"):
            self._zone_events.add(1, {"event": name})
        elif name.startswith("instance_"):
            self._instances.add(1, {"event": name})

    def count_store_failure(self, what: str) -> None:
        """Count a failed store call of the kind ``what``."""
        self._store_failures.add(1, {"what": what})

    def set_leading(self, is_leading: bool) -> None:
        """Record whether this entry schedules."""
        self._leading_gauge.set(int(is_leading))

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Record whether this entry reaches nobody that could serve clients."""
        self._cut_off_gauge.set(int(is_cut_off))

    def set_evacuated_zones(self, count: int) -> None:
        """Record how many zones are evacuated."""
        self._evacuated_gauge.set(count)

    def set_config_version(self, version: int) -> None:
        """Record the version of the configuration in force."""
        self._version_gauge.set(version)


def make_metrics_app() -> Klein:
    """Return the app that serves ``/metrics`` in Prometheus text format."""
    app = Klein()

    @app.route("/metrics", methods=["GET"])
    def metrics(request: t.Any) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return generate_latest()

    return app
