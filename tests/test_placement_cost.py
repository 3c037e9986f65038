"""Tests of what a round of placement costs, and that saving work changes no choice."""

import copy
import datetime as dt
import itertools
import random

import pytest
from attrs import define, evolve, field

from fighead.decisions import (
    filler_control,
    instance_health,
    instance_tracking,
    interference,
    placement,
    run_updates,
)
from fighead.decisions.schedule_state import Order, RecentEnd, RunPhase
from fighead.job import Demand, JobSpec, Queue, Stage
from job_builders import add_instance, add_job, at_seconds, make_schedule
from job_cluster import JobCluster

INSTANCE_COUNT = 176
JOB_COUNT = 40
FILLERS_PER_STAGE = 20
FILLER = Stage(
    FILLERS_PER_STAGE, 2000, 1, estimate_ms=3000, image="f", is_filler=True
)  # fmt: skip
SERVING = Stage(cpu=6000, memory_mb=1, is_lasting=True, image="s", target_ms=100)
KNOWN_VARIANCE = 1e-4
ROUND_TIME_S = 0.06


def make_job_id(number):
    return f"{number:016x}"


def make_grown_site():
    """Return a schedule with two serving tasks on most instances."""
    names = tuple(f"i{number}" for number in range(INSTANCE_COUNT))
    schedule = make_schedule(names)
    learn_effects(schedule, {"s": {"f": 0.01, "g": 0.01, "h": 0.01}})
    stage = evolve(SERVING, count=2 * INSTANCE_COUNT, max_per_instance=2)
    add_job(schedule, stage, job_id=make_job_id(9999))
    placement.place_waiting_tasks(schedule, at_seconds(1))
    return schedule


def learn_effects(schedule, effects, variance=KNOWN_VARIANCE):
    rows = tuple(
        interference.LearnedEffect(serving, filler, mean, variance)
        for serving, means in effects.items()
        for filler, mean in means.items()
    )
    interference.import_effects(schedule.interference, interference.Learned(rows))


def count_calls(monkeypatch, module, name):
    """Count the calls of a function; the returned list grows with each."""
    calls, function = [], getattr(module, name)

    def counted(*args, **kwargs):
        calls.append(args)
        return function(*args, **kwargs)

    monkeypatch.setattr(module, name, counted)
    return calls


def started_count(effects):
    return sum(isinstance(effect, Order) for effect in effects)


def test_a_burst_evaluates_each_instance_once_and_once_per_start(monkeypatch):
    schedule = make_grown_site()
    for number in range(JOB_COUNT):
        add_job(schedule, FILLER, FILLER, job_id=make_job_id(number))
    evaluated = count_calls(monkeypatch, placement, "is_usable")
    predicted = count_calls(monkeypatch, filler_control, "predict_impact")
    started = started_count(placement.place_waiting_tasks(schedule, at_seconds(2)))
    assert started == 2 * JOB_COUNT * FILLERS_PER_STAGE
    assert len(evaluated) <= INSTANCE_COUNT + started
    assert len(predicted) <= INSTANCE_COUNT + started


def test_kinds_in_turn_evaluate_each_instance_once_and_once_per_start(monkeypatch):
    schedule = make_grown_site()
    quick = Stage(2, 500, 1, estimate_ms=300, image="q")
    kinds = (FILLER, evolve(FILLER, image="g"), quick)
    for number in range(JOB_COUNT):
        stage = evolve(kinds[number % len(kinds)], count=2)
        add_job(schedule, stage, job_id=make_job_id(number))
    evaluated = count_calls(monkeypatch, placement, "is_usable")
    started = started_count(placement.place_waiting_tasks(schedule, at_seconds(2)))
    assert started == 2 * JOB_COUNT
    assert len(evaluated) <= len(kinds) * (INSTANCE_COUNT + started)


@pytest.mark.parametrize(
    "stage",
    [
        evolve(FILLER, required_label="none"),
        evolve(FILLER, memory_mb=10**9),
        Stage(4, 500, 1, image="q", required_label="none"),
        Stage(4, 65000, 1, image="q"),
    ],
    ids=["filler-label", "filler-memory", "quick-label", "quick-cpu"],
)
def test_unplaceable_stages_cost_the_evaluations_of_their_first_only(
    monkeypatch, stage
):
    schedule = make_grown_site()
    for number in range(JOB_COUNT):
        add_job(schedule, stage, job_id=make_job_id(number))
    evaluated = count_calls(monkeypatch, placement, "is_usable")
    assert not placement.place_waiting_tasks(schedule, at_seconds(2))
    assert len(evaluated) <= INSTANCE_COUNT


# The same choices as a plain evaluation of every instance for every task.


@define
class PlainRound:
    """The reference: a round of placement that evaluates everything anew."""

    schedule: object
    now: dt.datetime
    slacks: dict = field(factory=dict)

    def place(self):
        effects = []
        waiting = placement.rank_waiting_stages(self.schedule, self.now)
        for _, stage in waiting:
            spec = stage.spec
            is_lasting = spec.is_lasting or spec.target_ms
            for index in stage.waiting_indexes if is_lasting else ():
                task = stage.tasks[index]
                task.waiting_since = task.waiting_since or self.now
        for job, stage in waiting:
            if stage.spec.is_gang:
                effects += self.place_gang(job, stage)
            else:
                effects += self.place_tasks(job, stage)
        return effects

    def place_tasks(self, job, stage):
        spec, effects = stage.spec, []
        indexes = sorted(stage.waiting_indexes)
        if spec.is_lasting or spec.target_ms:
            indexes.sort(key=lambda index: stage.tasks[index].waiting_since)
        for index in indexes:
            task = stage.tasks[index]
            task.waiting_since = task.waiting_since or self.now
            state = self.choose(job, stage, task)
            if state is None:
                break
            if spec.is_filler:
                slack = self.slack_of(state)
                for entry in slack:
                    entry[1] -= self.pressure(entry[0], spec, state)
            number = max(task.highest_run_number + 1, self.schedule.first_run_number)
            effects += placement._start(job, stage, task, state, number, self.now)
        return effects

    def place_gang(self, job, stage):
        if len(stage.waiting_indexes) < len(stage.tasks):
            return []
        for task in stage.tasks:
            task.waiting_since = task.waiting_since or self.now
        chosen = self.choose_gang(self.usable(job, stage, False), stage)
        if chosen is None and stage.spec.is_filler and self.is_starved(job, stage):
            chosen = self.choose_gang(self.usable(job, stage, True), stage)
        if chosen is None and self.is_overdue(stage, stage.tasks[0]):
            chosen = self.choose_gang(self.usable(job, stage, False, True), stage)
        if chosen is None:
            return []
        number = max(task.highest_run_number for task in stage.tasks) + 1
        number = max(number, self.schedule.first_run_number)
        effects = []
        checkpoint = next((t.checkpoint for t in stage.tasks if t.checkpoint), "")
        for task, state in zip(stage.tasks, chosen, strict=True):
            task.checkpoint = checkpoint
            effects += placement._start(job, stage, task, state, number, self.now)
        return effects

    def choose_gang(self, usable, stage):
        usable.sort(key=lambda state: -self.score(state, stage))
        return placement._choose_gang_instances(usable, stage)

    def choose(self, job, stage, task):
        usable = self.usable(job, stage, False)
        if stage.spec.is_filler and not usable and self.is_starved(job, stage):
            usable = self.usable(job, stage, True)
        chosen = self.choose_among(usable, stage, task)
        if chosen is None and self.is_overdue(stage, task):
            usable = self.usable(job, stage, False, True)
            chosen = self.choose_among(usable, stage, task)
        return chosen

    def is_overdue(self, stage, task):
        since = task.waiting_since
        has_waited = since and self.now - since >= placement.LASTING_WAIT
        return stage.spec.is_lasting and has_waited

    def choose_among(self, usable, stage, task):
        if self.is_held_back(stage, task):
            usable = [s for s in usable if filler_control.serving_runs(s)]
        not_avoided = [
            s for s in usable if s.instance.instance_id not in task.avoided_instances
        ]
        proven = [
            s
            for s in not_avoided
            if task.failures and instance_health.last_run_succeeded(s)
        ]
        return max(
            proven or not_avoided or usable,
            key=lambda s: self.score(s, stage),
            default=None,
        )

    def is_held_back(self, stage, task):
        learned = self.schedule.interference
        if not stage.spec.target_ms or self.has_spare():
            return False
        if interference.tolerates_most(learned, stage.spec.image):
            return False
        since = task.waiting_since
        return since is None or self.now - since < placement.HOLD_BACK_TIME

    def has_spare(self):
        states = self.schedule.instances.values()
        tolerant = sum(
            placement.accepts_runs(state, self.now)
            and self.tolerance_of(state) >= interference.TOLERANT_SHARE
            for state in states
        )
        return tolerant > len(states) * placement.RESERVED_SHARE

    def usable(self, job, stage, accepts_harm, accepts_suspects=False):
        spec = stage.spec
        fitting = [
            state
            for state in self.schedule.instances.values()
            if placement.accepts_runs(
                state, self.now, accepts_suspects=accepts_suspects
            )
            and state.instance.upstream == job.queue.upstream
            and (
                not spec.required_label or spec.required_label in state.instance.labels
            )
            and spec.demand.fits(state.free_capacity)
            and self.is_below_limit(state, stage)
        ]
        if not spec.is_filler or accepts_harm:
            return fitting
        return [
            state
            for state in fitting
            if placement.unused_cpu(state) >= spec.cpu * placement.MIN_UNUSED_SHARE
            and self.is_acceptable(state, spec)
        ]

    def is_below_limit(self, state, stage):
        limit = stage.spec.max_per_instance
        count = stage.runs_by_instance.get(state.instance.instance_id, 0)
        return not limit or count < limit

    def is_starved(self, job, stage):
        since = (stage.tasks[index].waiting_since for index in stage.waiting_indexes)
        earliest = min((at for at in since if at is not None), default=self.now)
        at_work = [
            run
            for run in job.runs()
            if run.phase is not RunPhase.STOPPING
            and self.has_leases(self.schedule.instances[run.instance_id])
        ]
        if self.now - earliest < placement.STARVATION_TIME or at_work:
            return False
        states = [
            state
            for state in self.schedule.instances.values()
            if state.instance.upstream == job.queue.upstream
            and (state.is_registered or state.is_reachable)
        ]
        used = sum(state.used.cpu for state in states if self.has_leases(state))
        capacity = sum(state.instance.capacity.cpu for state in states)
        return used < placement.LOW_USE_SHARE * capacity

    def has_leases(self, state):
        return state.is_reachable or self.now < state.leases_end_at

    def slack_of(self, state):
        """Return a list of image, slack and lateness of each serving task."""
        learned, capacity = self.schedule.interference, state.instance.capacity.cpu
        if state.instance.instance_id not in self.slacks:
            filler_use = [
                interference.FillerUse(
                    run.stage.image,
                    interference.weight_of(
                        run.stage.cpu * run.pace_percent / 100, capacity
                    ),
                )
                for run in filler_control.filler_runs(state)
                if run.phase is not RunPhase.STOPPING
            ]
            self.slacks[state.instance.instance_id] = [
                [
                    run.stage.image,
                    interference.pressure_limit_of(
                        learned, run.stage.image, run.stage.target_ms
                    )
                    - filler_control.peak_load(
                        learned,
                        run.stage_id,
                        self.now,
                        filler_control.START_HORIZONS,
                    )
                    - interference.added_pressure(learned, run.stage.image, filler_use),
                    run.over_target_since is not None,
                ]
                for run in filler_control.serving_runs(state)
            ]
        return self.slacks[state.instance.instance_id]

    def pressure(self, image, spec, state):
        effect = interference.effect_of(self.schedule.interference, image, spec.image)
        weight = interference.weight_of(spec.cpu, state.instance.capacity.cpu)
        return max(0.0, effect.mean) * weight

    def impact(self, state, spec):
        """Return the highest pressure added and the lowest slack left."""
        slack = self.slack_of(state)
        pressures = [self.pressure(image, spec, state) for image, _, _ in slack]
        left = [task[1] - p for task, p in zip(slack, pressures, strict=True)]
        return max(pressures, default=0.0), min([1.0, *left])

    def is_acceptable(self, state, spec):
        pressure, left = self.impact(state, spec)
        if any(is_late for _, _, is_late in self.slack_of(state)):
            return False
        return pressure <= filler_control.HARMLESS_PRESSURE or (
            left >= filler_control.START_MARGIN
        )

    def tolerance_of(self, state):
        images = {run.stage.image for run in filler_control.serving_runs(state)}
        return interference.tolerance_of(self.schedule.interference, images)

    def score(self, state, stage):
        spec = stage.spec
        score = placement.unused_cpu(state) / state.instance.capacity.cpu
        if spec.preferred_rack and spec.preferred_rack not in state.instance.labels:
            score -= 1.0
        if spec.is_filler:
            cost = placement.TOLERANCE_COST * self.tolerance_of(state)
            if any(is_late for _, _, is_late in self.slack_of(state)):
                cost += placement.LATE_COST
            if not self.slack_of(state):
                return score + -cost
            pressure, left = self.impact(state, spec)
            return score + (-cost - placement.PRESSURE_COST * pressure + min(left, 0.0))
        if spec.target_ms:
            return self.serving_score(state, spec) - score
        return score

    def serving_score(self, state, spec):
        learned = self.schedule.interference
        serving = filler_control.serving_runs(state)
        images = {run.stage.image for run in serving}
        if images == {spec.image}:
            same = sum(run.stage is spec for run in serving)
            return placement.SAME_IMAGE_SCORE + placement.SAME_STAGE_SCORE * same / len(
                serving
            )
        if not images:
            if interference.tolerates_most(learned, spec.image) or self.has_spare():
                return placement.NO_IMAGE_SCORE
            return placement.RESERVED_SCORE
        if all(
            interference.are_similarly_sensitive(learned, spec.image, image)
            for image in images
        ):
            return placement.SIMILAR_IMAGES_SCORE
        if spec.image in images:
            return placement.MIXED_IMAGES_SCORE
        return -float(len(images))


SERVING_IMAGES = ("s", "t", "u")
FILLER_IMAGES = ("f", "g", "h", "k")
TARGETS_MS = (100, 200)
RACKS = ("r0", "r1", "r2")


def make_random_schedule(rng):
    schedule = make_schedule(())
    for number in range(rng.randint(4, 16)):
        capacity = Demand(rng.choice((16000, 32000)), 4000, rng.choice((0, 2)))
        state = add_instance(schedule, f"i{number}", capacity, rng.choice(RACKS))
        state.is_reachable = rng.random() < 0.95
        if rng.random() < 0.1:
            state.instance = evolve(state.instance, upstream="other")
        if rng.random() < 0.1:
            state.suspect_until = at_seconds(rng.randint(0, 20))
        if rng.random() < 0.5:
            is_done = rng.random() < 0.5
            state.recent_ends.append(RecentEnd(at_seconds(0), "x", is_done))
    schedule.is_settled = True
    means = (-0.01, 0.0, 0.01, 0.05, 0.3, 0.6)
    for serving in SERVING_IMAGES:
        known = rng.sample(FILLER_IMAGES, rng.randint(0, len(FILLER_IMAGES)))
        variance = rng.choice((KNOWN_VARIANCE, 0.01))
        effects = {filler: rng.choice(means) for filler in known}
        learn_effects(schedule, {serving: effects}, variance)
        for target_ms in TARGETS_MS:
            base = target_ms * rng.choice((0.2, 0.5, 0.7))
            schedule.interference.bases[serving, target_ms] = base
    for number in range(rng.randint(0, 2)):
        stage = evolve(
            SERVING,
            count=len(schedule.instances),
            cpu=2000,
            image=rng.choice(SERVING_IMAGES),
            max_per_instance=1,
        )
        add_job(schedule, stage, job_id=make_job_id(9000 + number))
    return schedule


def make_random_stage(rng):
    common = {
        "count": rng.randint(1, 6),
        "memory_mb": rng.choice((1, 1, 1, 300)),
        "estimate_ms": rng.choice((300, 3000)),
        "required_label": rng.choice(("", "", "", *RACKS)),
        "preferred_rack": rng.choice(("", "", "", *RACKS)),
        "max_per_instance": rng.choice((0, 0, 0, 1, 2)),
    }
    kind = rng.choice(("quick", "serving", "filler", "filler", "gang", "gang filler"))
    if kind == "serving":
        image, cpu = rng.choice(SERVING_IMAGES), rng.choice((2000, 4000))
        target_ms = rng.choice(TARGETS_MS)
        return Stage(
            **common, cpu=cpu, image=image, target_ms=target_ms, is_lasting=True
        )  # fmt: skip
    if "filler" in kind:
        image, cpu = rng.choice(FILLER_IMAGES), rng.choice((1000, 4000))
        return Stage(
            **common, cpu=cpu, image=image, is_filler=True, is_gang="gang" in kind
        )  # fmt: skip
    return Stage(
        **common,
        cpu=rng.choice((500, 1000, 6000)),
        gpu=rng.choice((0, 0, 1)),
        image=rng.choice("qr"),
        is_gang=kind == "gang",
        same_rack=rng.random() < 0.5,
    )


def add_random_job(rng, schedule, number):
    spec = make_random_stage(rng)
    if schedule.jobs and rng.random() < 0.3:
        spec = next(iter(rng.choice(list(schedule.jobs.values())).stages.values())).spec
    job = add_job(schedule, spec, job_id=make_job_id(number))
    job.queue = evolve(job.queue, priority=rng.randint(0, 2))
    if rng.random() < 0.1:
        job.queue = Queue("p", "b.example", "/q/", "other", 1)
    for stage in job.stages.values():
        for task in stage.tasks:
            if rng.random() < 0.15:
                task.failures.add(0)
            if rng.random() < 0.3:
                names = list(schedule.instances)
                task.avoided_instances |= set(rng.sample(names, rng.randint(1, 3)))


def change_runs(rng, schedule):
    """End some runs, and change the pace, the phase or the lateness of others."""
    for state in schedule.instances.values():
        for run in list(state.runs.values()):
            chance = rng.random()
            if chance < 0.25:
                run_updates.release_run(schedule, run)
            elif run.stage.is_filler:
                run.pace_percent = rng.choice((0, 40, 100))
                run.phase = rng.choice((RunPhase.RUNNING, RunPhase.STOPPING))
            elif run.stage.target_ms and chance < 0.4:
                run.over_target_since = at_seconds(0)


@pytest.mark.parametrize("seed", range(300))
def test_choices_equal_those_of_a_plain_evaluation(seed):
    rng = random.Random(seed)
    schedule = make_random_schedule(rng)
    number = 0
    for step in range(5):
        for _ in range(rng.randint(1, 8)):
            number += 1
            add_random_job(rng, schedule, number)
        now = at_seconds(step * rng.choice((0.5, 1.5, 3)))
        expected = PlainRound(copy.deepcopy(schedule), now).place()
        assert placement.place_waiting_tasks(schedule, now) == expected
        change_runs(rng, schedule)


def test_instances_become_reserved_within_a_round():
    schedule = make_schedule(tuple(f"i{number}" for number in range(20)))
    harmful = {"f": 0.5, "g": 0.5, "h": 0.5}
    learn_effects(schedule, {"s": harmful, "t": harmful | {"h": 0.3}})
    other = evolve(SERVING, image="t", count=17, max_per_instance=1)
    add_job(schedule, other, job_id=make_job_id(1))
    placement.place_waiting_tasks(schedule, at_seconds(0))
    job = add_job(schedule, evolve(SERVING, cpu=40000, count=2))
    for task in job.stages[0, 0].tasks:
        task.waiting_since = at_seconds(0)
    now = at_seconds(5)
    expected = PlainRound(copy.deepcopy(schedule), now).place()
    effects = placement.place_waiting_tasks(schedule, now)
    assert effects == expected
    first, second = (e.instance_id for e in effects if isinstance(e, Order))
    assert len(schedule.instances[first].serving) == 1
    assert len(schedule.instances[second].serving) > 1


def test_long_rounds_leave_half_of_the_loop_to_other_work(monkeypatch):
    cluster = JobCluster()
    cluster.advance(3)
    rounds, place = [], placement.place_waiting_tasks

    def place_slowly(schedule, now):
        cluster.reactor.rightNow += ROUND_TIME_S
        rounds.append(now)
        return place(schedule, now)

    monkeypatch.setattr(placement, "place_waiting_tasks", place_slowly)
    for number in range(JOB_COUNT):
        spec = JobSpec("x", (Stage(count=2, cpu=100, memory_mb=1, estimate_ms=300),))
        cluster.submit(make_job_id(number), spec)
        cluster.advance(0.05)
    gaps = [(b - a).total_seconds() for a, b in itertools.pairwise(rounds)]
    assert len(gaps) > 5
    assert min(gaps) >= 2 * ROUND_TIME_S - 1e-6


def test_a_suspended_round_delays_the_next_one_by_a_bounded_time():
    ended = at_seconds(60)
    expected = ended + placement.MAX_ROUND_PAUSE
    assert placement.next_round_at(at_seconds(0), ended) == expected


def test_registrations_of_the_fleet_are_copied_only_to_leave_something_out():
    schedule = make_schedule(("i1", "i2"))
    draining = schedule.instances["i2"]
    draining.instance = evolve(draining.instance, is_draining=True, remaining_ms=900)
    first, second = instance_tracking.find_registrations(schedule, {"i1", "i2"})
    assert first is schedule.instances["i1"].instance
    assert second == evolve(draining.instance, is_draining=False, remaining_ms=0)


# Failure: a job of many stages is ranked by all of them, once for each.
def test_a_job_is_ranked_once_in_a_round(monkeypatch):
    schedule = make_schedule()
    stages = [Stage(estimate_ms=1)] * 50
    for number in range(3):
        add_job(schedule, *stages, job_id=make_job_id(number))
    calls = count_calls(monkeypatch, placement.caller_cost, "cost_of_waiting")
    assert len(placement.rank_waiting_stages(schedule, at_seconds(1))) == 150
    assert len(calls) == 3
