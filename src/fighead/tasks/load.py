"""The task that watches how busy the process is."""

import datetime as dt
import typing as t

from attrs import define, field

from ..clock import Clock, sleep
from ..decisions import load_watch
from ..decisions.load_watch import LoadState
from ..job_metric import JobMetrics
from ..log import log_event
from ..process_load import AllCallCounts, ProcessClocks, SchedulerLoad

#: Interval between two readings of the clocks.
SAMPLE_INTERVAL = dt.timedelta(seconds=load_watch.SAMPLE_INTERVAL_S)


@define(eq=False)
class LoadTask:
    """Measures the delay of the event loop and reports the load of the process.

    The load of the scheduler is read by a function: an answer by message would be as
    late as the messages whose delay it should show.

    :param clocks: Clocks of the process, the steady one that of ``clock``.
    :param count_calls: Returns the calls sent since the start of the process.
    :param take_scheduler_load: Returns the load of the scheduler and starts its next
        interval; ``None`` while the entry is not the leader.
    """

    clock: Clock
    clocks: ProcessClocks
    count_calls: t.Callable[[], AllCallCounts]
    take_scheduler_load: t.Callable[[], SchedulerLoad | None]
    metrics: JobMetrics
    _state: LoadState = field(init=False)

    async def run(self) -> None:
        """Watch the load until cancelled."""
        self._state = load_watch.start_watch(self.clocks.read(), self.count_calls())
        while True:
            await sleep(self.clock, SAMPLE_INTERVAL)
            self._take_sample()

    def _take_sample(self) -> None:
        delay_s = load_watch.add_reading(self._state, self.clocks.read())
        self.metrics.record_loop_delay(delay_s)
        for note in load_watch.take_warnings(self._state):
            log_event(note.event, **note.fields)
        if load_watch.is_report_due(self._state):
            self._report()

    def _report(self) -> None:
        report = load_watch.take_report(self._state, self.count_calls())
        self.metrics.count_calls("store", report.calls.store)
        self.metrics.count_calls("instances", report.calls.instances)
        self.metrics.count_cpu(report.cpu_s)
        load = self.take_scheduler_load()
        self.metrics.set_scheduler_load(load)
        if load is not None:
            note = load_watch.describe_leader(report, load)
            log_event(note.event, **note.fields)
