"""Tests that a filler of a job without work under way starts in the end."""

from attrs import evolve

from fighead.decisions import interference, placement
from fighead.decisions.schedule_state import RunPhase
from fighead.job import Demand, Stage
from fighead.run import StartRun
from job_builders import add_instance, add_job, at_seconds, make_schedule

CAPACITY = Demand(64_000, 256_000, 0)
FILLER = Stage(
    1, 7000, 1000, estimate_ms=3000, image="f", is_filler=True, is_checkpointed=True
)  # fmt: skip
SERVING = Stage(1, 13_000, 1000, is_lasting=True, image="s", target_ms=100)
QUICK = Stage(1, 24_000, 1000, estimate_ms=500)


def make_job_id(number):
    return f"{number:016x}"


def place(schedule, at):
    """Place waiting tasks; return instance ID and job ID of each start."""
    effects = placement.place_waiting_tasks(schedule, at_seconds(at))
    return [
        (effect.instance_id, effect.order.task.job_id)
        for effect in effects
        if hasattr(effect, "order") and isinstance(effect.order, StartRun)
    ]


def make_intolerant_schedule(*others):
    """Return a schedule with a serving task on i1 that tolerates no filler.

    The ``others`` are instances that are empty.
    """
    schedule = make_schedule(("i1",), capacity=CAPACITY)
    rows = (interference.LearnedEffect("s", "f", 0.9, 1e-4),)
    interference.import_effects(schedule.interference, interference.Learned(rows))
    add_job(schedule, SERVING, job_id=make_job_id(1))
    assert place(schedule, 0) == [("i1", make_job_id(1))]
    for name in others:
        add_instance(schedule, name, CAPACITY)
    return schedule


def use_most_of(schedule, name):
    """Start tasks that demand 48 of 64 processors on an instance."""
    usable = {name: state.is_listed for name, state in schedule.instances.items()}
    for other, state in schedule.instances.items():
        state.is_listed = other == name
    add_job(schedule, evolve(QUICK, count=2), job_id=make_job_id(2))
    assert [started for started, _ in place(schedule, 0)] == [name] * 2
    for other, state in schedule.instances.items():
        state.is_listed = usable[other]


def has_started_in_time(schedule, job_id):
    """Whether a filler waits at first, and starts before 3 s are over."""
    assert not place(schedule, 1)
    assert not place(schedule, 2.9)
    return [job for _, job in place(schedule, 3.1)] == [job_id]


# Failure: the room of an instance without a registration doesn't count, so that the
# others seem more than half used and a filler waits for good.
def test_a_starved_filler_starts_though_an_unused_instance_lost_its_registration():
    schedule = make_intolerant_schedule("i2")
    schedule.instances["i2"].is_registered = False
    use_most_of(schedule, "i1")
    job = add_job(schedule, FILLER, job_id=make_job_id(3))
    assert has_started_in_time(schedule, job.job_id)


def make_schedule_with_held_runs():
    """Return a schedule with most of the processors of a silent instance in use."""
    schedule = make_intolerant_schedule("i2")
    use_most_of(schedule, "i2")
    held = schedule.instances["i2"]
    held.is_reachable, held.leases_end_at = False, at_seconds(2)
    add_job(schedule, QUICK, job_id=make_job_id(4))
    assert place(schedule, 0) == [("i1", make_job_id(4))]
    return schedule, held


# Failure: runs whose leases have ended count as use of processors.
def test_a_starved_filler_starts_though_ended_leases_are_not_confirmed_as_ended():
    schedule, _ = make_schedule_with_held_runs()
    job = add_job(schedule, FILLER, job_id=make_job_id(3))
    assert has_started_in_time(schedule, job.job_id)


def test_a_starved_filler_waits_while_runs_on_a_silent_instance_have_leases():
    schedule, held = make_schedule_with_held_runs()
    held.leases_end_at = at_seconds(5)
    add_job(schedule, FILLER, job_id=make_job_id(3))
    assert not place(schedule, 1) and not place(schedule, 4.9)
    assert place(schedule, 5.1)


# Failure: the use of one upstream keeps the fillers of another waiting.
def test_a_starved_filler_starts_though_another_upstream_is_full():
    schedule = make_intolerant_schedule("i2", "i3")
    for name in ("i2", "i3"):
        state = schedule.instances[name]
        state.instance = evolve(state.instance, upstream="other")
        state.used = CAPACITY
    job = add_job(schedule, FILLER, job_id=make_job_id(3))
    assert has_started_in_time(schedule, job.job_id)


# Failure: a filler waits for unused processors however long others have them.
def test_a_starved_filler_starts_though_others_use_all_processors():
    schedule = make_schedule(("i1",), capacity=CAPACITY)
    add_job(schedule, evolve(FILLER, count=20, image="g"), job_id=make_job_id(1))
    assert 0 < len(place(schedule, 0)) < 20
    job = add_job(schedule, FILLER, job_id=make_job_id(3))
    assert has_started_in_time(schedule, job.job_id)


def test_a_starved_filler_waits_for_memory():
    schedule = make_schedule(("i1",), capacity=CAPACITY)
    add_job(schedule, Stage(1, 1000, 255_500), job_id=make_job_id(1))
    assert place(schedule, 0)
    add_job(schedule, FILLER, job_id=make_job_id(3))
    assert not place(schedule, 1) and not place(schedule, 9)


def test_one_filler_of_a_starved_job_starts():
    schedule = make_intolerant_schedule()
    add_job(schedule, evolve(FILLER, count=5), job_id=make_job_id(3))
    assert not place(schedule, 1)
    assert len(place(schedule, 3.1)) == 1
    assert not place(schedule, 9)


# Failure: a filler waits because another one of its image has found no instance.
def test_each_starved_job_gets_a_filler():
    schedule = make_intolerant_schedule()
    for number in (3, 4, 5):
        add_job(schedule, FILLER, job_id=make_job_id(number))
    assert not place(schedule, 1)
    assert len(place(schedule, 3.1)) == 3


def start_one_of_two(schedule):
    """Start one of the two fillers of a job; return its run."""
    job = add_job(schedule, evolve(FILLER, count=2), job_id=make_job_id(3))
    assert not place(schedule, 1)
    assert len(place(schedule, 3.1)) == 1
    (run,) = job.runs()
    return run


# Failure: a run that is being stopped counts as work under way of its job.
def test_a_starved_filler_starts_though_another_of_its_job_is_being_stopped():
    schedule = make_intolerant_schedule()
    run = start_one_of_two(schedule)
    run.phase = RunPhase.STOPPING
    assert place(schedule, 5.2) == [("i1", run.key.job_id)]


# Failure: a run whose lease has ended counts as work under way of its job.
def test_a_starved_filler_starts_though_another_of_its_job_is_held_past_its_lease():
    schedule = make_intolerant_schedule()
    run = start_one_of_two(schedule)
    silent = schedule.instances["i1"]
    silent.is_reachable, silent.leases_end_at = False, at_seconds(6)
    add_instance(schedule, "i2", CAPACITY)
    add_job(schedule, evolve(SERVING, cpu=1000), job_id=make_job_id(5))
    assert place(schedule, 5.9) == [("i2", make_job_id(5))]
    assert place(schedule, 6.1) == [("i2", run.key.job_id)]


# Failure: a gang of fillers never counts as starved.
def test_a_starved_gang_of_fillers_starts():
    schedule = make_intolerant_schedule("i2")
    schedule.instances["i2"].instance = evolve(
        schedule.instances["i2"].instance, capacity=Demand(64_000, 1500, 0)
    )
    gang = evolve(FILLER, count=3, is_gang=True)
    add_job(schedule, gang, job_id=make_job_id(3))
    assert not place(schedule, 1) and not place(schedule, 2.9)
    assert sorted(name for name, _ in place(schedule, 3.1)) == ["i1", "i1", "i2"]


# Failure: a filler starts beside a task that is late although another is not.
def test_a_starved_filler_keeps_off_instances_with_late_tasks():
    schedule = make_intolerant_schedule()
    add_instance(schedule, "i2", CAPACITY)
    schedule.instances["i1"].is_listed = False
    for number in (5, 6):
        add_job(schedule, SERVING, job_id=make_job_id(number))
    assert [name for name, _ in place(schedule, 0)] == ["i2", "i2"]
    schedule.instances["i1"].is_listed = True
    for run in schedule.instances["i1"].serving.values():
        run.over_target_since = at_seconds(0)
    job = add_job(schedule, FILLER, job_id=make_job_id(3))
    assert not place(schedule, 1)
    assert place(schedule, 3.1) == [("i2", job.job_id)]


# Failure: each leader lets a filler wait as long as the one before.
def test_a_starved_filler_of_an_earlier_leader_does_not_wait_again():
    schedule = make_intolerant_schedule()
    schedule.fence = 7
    job = add_job(schedule, FILLER, job_id=make_job_id(3))
    assert job.revision <= schedule.fence
    assert place(schedule, 0) == [("i1", job.job_id)]


# Failure: each starved filler that finds no memory is tried on every instance.
def test_starved_fillers_without_memory_cost_the_evaluations_of_the_first_only(
    monkeypatch,
):
    names = tuple(f"i{number}" for number in range(50))
    schedule = make_schedule(names, capacity=CAPACITY)
    for number in range(30):
        stage = evolve(FILLER, memory_mb=300_000)
        add_job(schedule, stage, job_id=make_job_id(number))
    assert not place(schedule, 1)
    tried = []
    fits = placement.fits

    def count(state, stage):
        tried.append(state)
        return fits(state, stage)

    monkeypatch.setattr(placement, "fits", count)
    assert not place(schedule, 3.1)
    assert len(tried) <= 2 * len(names)
