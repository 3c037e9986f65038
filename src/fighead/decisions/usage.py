"""Counts how much of an upstream is in use, and whether a job has work under way.

Callers count the instances that are up, whether they are registered or not, and the
runs that go on there. A run on an instance that doesn't answer goes on until its lease
ends, and is held longer if nothing confirms that the lease was not extended.
"""

import datetime as dt
import typing as t

from attrs import define

from .schedule_state import InstanceState, JobState, RunPhase

#: Instances by ID.
Instances = t.Mapping[str, InstanceState]


@define(eq=False)
class UpstreamUse:
    """Processors of the instances of an upstream that are up.

    :param cpu: Their capacity in millicores.
    :param cpu_used: Demand of the runs that go on there; fillers demand none.
    """

    cpu: int = 0
    cpu_used: int = 0

    def is_below(self, share: float) -> bool:
        """Whether less than a share of the capacity is in use."""
        return self.cpu_used < share * self.cpu


def is_up(state: InstanceState) -> bool:
    """Whether an instance answers, or keeps its registration."""
    return state.is_reachable or state.is_registered


def may_have_runs(state: InstanceState, now: dt.datetime) -> bool:
    """Whether the runs on an instance go on, as far as is known."""
    return state.is_reachable or now < state.leases_end_at


def measure_use(instances: Instances, upstream: str, now: dt.datetime) -> UpstreamUse:
    """Return how much of an upstream is in use."""
    use = UpstreamUse()
    for state in instances.values():
        if state.instance.upstream != upstream or not is_up(state):
            continue
        use.cpu += state.instance.capacity.cpu
        if may_have_runs(state, now):
            use.cpu_used += state.used.cpu
    return use


def has_work(instances: Instances, job: JobState, now: dt.datetime) -> bool:
    """Whether a task of a job is at work, or has been ordered to start.

    A run that is being stopped is no longer at work.
    """
    return any(
        run.phase is not RunPhase.STOPPING
        and run.instance_id in instances
        and may_have_runs(instances[run.instance_id], now)
        for run in job.runs()
    )
