"""History checks of runs with real processes, under faults from a seed.

Every scenario drives load through all entries, makes its faults on the way and
checks the journals of the instances against what the callers were told.
"""

import json
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

import pytest

from cluster import Cluster, wait_until
from fighead.codec import from_json
from fighead.load.history import History, Operation, check_history, read_runs
from fighead.model import Category

#: Bound on the end of all plans; throttled plans run at a third of their speed.
PLANS_TIMEOUT_S = 90
DRIVER = pathlib.Path(__file__).parent / "driver.py"
PLAN = """
[plan]
name = fault
[checks]
upstream = carving
kind = blade-check
category = check
rate_per_s = 30
run_time_s = 0.02
deadline_ms = 1000
end_s = {seconds}
callers = Smolyan Workshop; Devin Workshop
[plans]
upstream = carving
kind = carving-plan
category = plan
rate_per_s = 4
run_time_s = 2.0
end_s = {seconds}
non_idempotent = yes
wait_s = 12
callers = Smolyan Workshop; Chepelare Workshop; Devin Workshop
[watches]
upstream = carving
kind = drying-watch
category = watch
rate_per_s = 1
run_time_s = 600
end_s = 4
"""


@pytest.fixture
def make_cluster(tmp_path):
    started = []

    def make(**options):
        cluster = Cluster(tmp_path, **options)
        started.append(cluster)
        return cluster.start()

    yield make
    for cluster in started:
        cluster.stop()


def drive(cluster, faults, seconds=10, seed=1, plan=PLAN):
    """Drive load and run ``faults`` beside it; return the history."""
    plan_path = cluster.folder / "plan.ini"
    plan_path.write_text(plan.format(seconds=seconds))
    out = cluster.folder / "operations.jsonl"
    command = [sys.executable, str(DRIVER), str(plan_path), str(out), str(seed)]
    driver = subprocess.Popen([*command, *cluster.urls.values()])
    errors = []

    def make_faults():
        try:
            faults(cluster, random.Random(seed))
        except Exception as exc:
            errors.append(exc)

    thread = threading.Thread(target=make_faults)
    thread.start()
    assert driver.wait(150) == 0
    thread.join()
    assert not errors
    lines = out.read_text().splitlines()
    operations = tuple(from_json(line, Operation) for line in lines)
    slots = dict.fromkeys(cluster.worker_urls, cluster.slots)
    return History(operations, cluster.journals(), slots)


def assert_kept(history):
    verdict = check_history(history)
    assert not verdict.breaches, verdict.breaches[:10]
    assert verdict.operations > 100


def told(history, category, outcome):
    return [
        op
        for op in history.operations
        if op.category is category and op.outcome == outcome
    ]


def watches_alive(cluster, history):
    """Whether every accepted watch runs at exactly one instance now."""
    accepted = {
        f"carving/{op.work_id}" for op in told(history, Category.WATCH, "accepted")
    }
    running = [
        run.task_id.rpartition("#")[0]
        for journal in cluster.journals()
        for run in read_runs(journal)
        if run.ended_s is None
    ]
    return all(running.count(work) == 1 for work in accepted) and accepted


def plans_ended(cluster, history):
    """Whether every plan that was not answered in line has ended by now."""
    base = cluster.urls[cluster.alive()[0]]
    for op in history.operations:
        if op.category is not Category.PLAN or op.outcome in ("done", "not_run"):
            continue
        caller, _, request_id = op.work_id.partition("/")
        url = f"{base}/v1/carving/work/{request_id}"
        answer, _ = request("GET", url, None, caller=caller)
        if answer["outcome"] in ("accepted", "unknown"):
            return False
    return True


def line_holder(cluster):
    for name in cluster.alive():
        if cluster.status(name)["lines"]:
            return name
    raise AssertionError("Nobody holds the line.")


def test_entries_killed_one_after_another(make_cluster):
    cluster = make_cluster()

    def faults(cluster, rng):
        time.sleep(5)
        cluster.processes[line_holder(cluster)].kill()
        time.sleep(1)
        cluster.start_entry("entry-late", "devin")

    history = drive(cluster, faults)
    assert_kept(history)
    assert told(history, Category.PLAN, "done")
    wait_until(lambda: watches_alive(cluster, history))
    wait_until(lambda: plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_owner_frozen_past_its_lease(make_cluster):
    cluster = make_cluster()

    def faults(cluster, rng):
        time.sleep(2)
        victim = cluster.processes[line_holder(cluster)]
        victim.send(signal.SIGSTOP)
        time.sleep(6)
        victim.send(signal.SIGCONT)

    history = drive(cluster, faults)
    assert_kept(history)
    wait_until(lambda: watches_alive(cluster, history))
    wait_until(lambda: plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_store_down_longer_than_every_lease(make_cluster):
    cluster = make_cluster()

    def faults(cluster, rng):
        time.sleep(3)
        cluster.set_store(down=True)
        time.sleep(7)
        cluster.set_store()

    history = drive(cluster, faults, seconds=12)
    assert_kept(history)
    checks = told(history, Category.CHECK, "done")
    assert len(checks) >= 0.99 * sum(
        op.category is Category.CHECK for op in history.operations
    )
    wait_until(lambda: watches_alive(cluster, history))
    wait_until(lambda: plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_answers_lost_after_the_write(make_cluster):
    cluster = make_cluster()

    def faults(cluster, rng):
        time.sleep(1)
        cluster.set_store(lose_answers=0.3)
        time.sleep(2)
        cluster.processes[line_holder(cluster)].kill()
        time.sleep(4)
        cluster.set_store(slow_s=0.2, lose_answers=0.1)
        time.sleep(2)
        cluster.set_store()

    history = drive(cluster, faults)
    assert_kept(history)
    wait_until(lambda: watches_alive(cluster, history))
    wait_until(lambda: plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_instances_lose_answers_and_freeze(make_cluster):
    cluster = make_cluster()

    def faults(cluster, rng):
        for name in cluster.worker_urls:
            cluster.set_worker(name, lose_answers=0.1)
        time.sleep(2)
        frozen = cluster.processes["bench-1"]
        frozen.send(signal.SIGSTOP)
        time.sleep(5)
        frozen.send(signal.SIGCONT)
        for name in cluster.worker_urls:
            cluster.set_worker(name)

    history = drive(cluster, faults)
    assert_kept(history)
    wait_until(lambda: plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_planned_stop_of_all_entries_in_turn(make_cluster):
    cluster = make_cluster()

    def faults(cluster, rng):
        time.sleep(1)
        for number, name in enumerate(list(cluster.urls)):
            cluster.start_entry(f"entry-new-{number}", ("devin", "smolyan")[number % 2])
            process = cluster.processes[name]
            process.send(signal.SIGTERM)
            process.send(signal.SIGTERM)
            assert process.popen.wait(40) == 0

    history = drive(cluster, faults, seconds=14)
    assert_kept(history)
    assert not told(history, Category.PLAN, "lost")
    wait_until(lambda: watches_alive(cluster, history))
    wait_until(lambda: plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_leaving_instance_gets_no_new_work(make_cluster):
    cluster = make_cluster()
    left_at = []

    def faults(cluster, rng):
        time.sleep(3)
        cluster.set_platform(leaving=["bench-0"])
        left_at.append(time.time())

    history = drive(cluster, faults, seconds=8)
    assert_kept(history)
    journal = next(j for j in history.journals if j.instance == "bench-0")
    last = max(run.started_s for run in read_runs(journal))
    assert last - left_at[0] < 5
    assert told(history, Category.CHECK, "done")


def test_entry_cut_off_from_the_store_only(make_cluster):
    cluster = make_cluster()

    def faults(cluster, rng):
        time.sleep(2)
        victim = line_holder(cluster)
        cluster.relays[victim].cut()
        time.sleep(1)
        other = next(name for name in cluster.alive() if name != victim)
        cluster.apply(1, entry=other)
        # The entry that is cut off hears of the revision from its peers.
        wait_until(lambda: cluster.status(victim)["revision"] == 2, 15)
        time.sleep(4)
        cluster.relays[victim].mend()

    history = drive(cluster, faults, seconds=12)
    assert_kept(history)
    wait_until(cluster.is_settled)
    wait_until(lambda: watches_alive(cluster, history))
    wait_until(lambda: plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_operators_race_and_repeat(make_cluster):
    cluster = make_cluster(workers=2)
    entries = list(cluster.operators)
    cluster.set_store(lose_answers=0.4)
    outcomes = []

    def apply(number):
        try:
            answer = cluster.apply(1, f"race-{number}", entry=entries[number % 3])
            outcomes.append((number, answer["number"]))
        except urllib.error.HTTPError as exc:
            outcomes.append((number, exc.code))

    threads = [threading.Thread(target=apply, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cluster.set_store()
    winners = [number for number, result in outcomes if result == 2]
    assert len(winners) == 1, outcomes
    assert sorted(result for _, result in outcomes) == [2] + [409] * 5
    # A repeat of the change that won is recognised and makes no new revision.
    assert cluster.apply(1, f"race-{winners[0]}")["number"] == 2
    wait_until(cluster.is_settled, 15)


def test_revision_never_goes_back(make_cluster):
    cluster = make_cluster(workers=2)
    for base in (1, 2, 3):
        cluster.apply(base)
    wait_until(lambda: all(cluster.status(n)["revision"] == 4 for n in cluster.alive()))
    cluster.set_store(stale_reads=True)
    for relay in cluster.relays.values():
        relay.cut()
        relay.mend()
    seen = []
    deadline = time.monotonic() + 4
    while time.monotonic() < deadline:
        seen += [cluster.status(name)["revision"] for name in cluster.alive()]
        time.sleep(0.1)
    assert min(seen) == 4
    # A new entry that the store answers from the past learns from its peers.
    cluster.start_entry("entry-new", "devin")
    wait_until(lambda: cluster.status("entry-new")["revision"] == 4, 15)


def test_bad_requests_are_refused_with_a_remedy(make_cluster):
    cluster = make_cluster(workers=2)
    base = f"{cluster.urls['entry-0']}/v1"
    long_body = "x" * (300 * 1024)
    put, check = f"{base}/carving/work", f"{base}/carving/checks/blade-check"
    cases = [
        ("POST", f"{base}/nowhere/checks/blade-check", "x", 404, "unknown_name"),
        ("POST", f"{base}/carving/checks/sawing", "x", 404, "unknown_name"),
        ("POST", f"{base}/carving/checks/carving-plan", "x", 400, "bad_request"),
        (
            "POST",
            f"{base}/carving/checks/blade-check",
            long_body,
            413,
            "body_too_large",
        ),
        ("PUT", f"{put}/a%20b?kind=carving-plan", "x", 400, "bad_request"),
        ("PUT", f"{put}/a?kind=carving-plan&wait_ms=soon", "x", 400, "bad_request"),
        ("PUT", f"{put}/a?kind=carving-plan", "one", 202, "accepted"),
        ("PUT", f"{put}/a?kind=carving-plan", "one", 202, "accepted"),
        ("PUT", f"{put}/a?kind=carving-plan", "two", 409, "duplicate_request"),
        ("GET", f"{put}/b", None, 404, "unknown_work"),
    ]
    for method, url, body, status, outcome in cases:
        answer, code = request(method, url, body)
        assert (code, answer["outcome"]) == (status, outcome), (url, answer)
        assert status == 202 or answer["remedy"]
    answer, code = request("POST", check, "x", "-5")
    assert code == 400


def request(method, url, body, deadline_ms="900", caller="Devin Workshop"):
    headers = {"Caller": caller, "Deadline-Ms": deadline_ms}
    data = body.encode() if body is not None else None
    sent = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(sent, timeout=30) as answer:
            return json.loads(answer.read()), answer.status
    except urllib.error.HTTPError as exc:
        return json.loads(exc.read()), exc.code
