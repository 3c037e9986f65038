"""Fault-injection tests with real processes.

Most scenarios send load through all entries, inject faults meanwhile, and check
the journals of the instances against the outcomes that the callers received.
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

#: Time for all plans to end. Throttled plans run at a third of full speed.
PLANS_TIMEOUT_S = 90
DRIVER_PATH = pathlib.Path(__file__).parent / "driver.py"
#: ``seconds`` is the duration of the checks and plans.
LOAD_PLAN = """
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
    clusters = []

    def make(**options):
        cluster = Cluster(tmp_path, **options)
        clusters.append(cluster)
        return cluster.start()

    yield make
    for cluster in clusters:
        cluster.stop()


def run_load(cluster, inject_faults, seconds=10, seed=1, load_plan=LOAD_PLAN):
    """Run a load plan while ``inject_faults`` runs in a thread.

    :param inject_faults: Called with the cluster and a seeded random generator; an
        exception that it raises fails the test.
    :param seconds: Duration of the checks and plans.
    :param seed: Seed of the load and of the random generator.
    :returns: The operations of the callers with the journals of the instances.
    """
    load_plan_path = cluster.folder / "plan.ini"
    load_plan_path.write_text(load_plan.format(seconds=seconds))
    out_path = cluster.folder / "operations.jsonl"
    command = [
        sys.executable,
        str(DRIVER_PATH),
        str(load_plan_path),
        str(out_path),
        str(seed),
    ]
    driver = subprocess.Popen([*command, *cluster.caller_urls.values()])
    errors = []

    def inject_and_collect_errors():
        try:
            inject_faults(cluster, random.Random(seed))
        except Exception as exc:
            errors.append(exc)

    thread = threading.Thread(target=inject_and_collect_errors)
    thread.start()
    assert driver.wait(150) == 0
    thread.join()
    assert not errors
    lines = out_path.read_text().splitlines()
    operations = tuple(from_json(line, Operation) for line in lines)
    slots = dict.fromkeys(cluster.worker_urls, cluster.slots)
    return History(operations, cluster.journals(), slots)


def assert_guarantees(history):
    """Fail on any breach, or if the load run sent 100 operations or fewer."""
    verdict = check_history(history)
    assert not verdict.breaches, verdict.breaches[:10]
    assert verdict.operations > 100


def select_operations(history, category, outcome):
    """Return the operations of a category that had the outcome."""
    return [
        op
        for op in history.operations
        if op.category is category and op.outcome == outcome
    ]


def are_watches_running(cluster, history):
    """Whether watches were accepted and each runs at exactly one instance."""
    accepted_keys = {
        f"carving/{op.work_id}"
        for op in select_operations(history, Category.WATCH, "accepted")
    }
    running_keys = [
        run.task_id.rpartition("#")[0]
        for journal in cluster.journals()
        for run in read_runs(journal)
        if run.ended_s is None
    ]
    return all(running_keys.count(key) == 1 for key in accepted_keys) and accepted_keys


def have_plans_ended(cluster, history):
    """Whether all plans have ended.

    Asks an entry about each plan whose first answer wasn't final.
    """
    base_url = cluster.caller_urls[cluster.live_entries()[0]]
    for op in history.operations:
        if op.category is not Category.PLAN or op.outcome in ("done", "not_run"):
            continue
        caller, _, request_id = op.work_id.partition("/")
        url = f"{base_url}/v1/carving/work/{request_id}"
        answer, _ = request_as_caller("GET", url, None, caller=caller)
        if answer["outcome"] in ("accepted", "unknown"):
            return False
    return True


def line_owner(cluster):
    """Return the name of the first live entry that owns a line."""
    for name in cluster.live_entries():
        if cluster.status(name)["lines"]:
            return name
    raise AssertionError(
        "No live entry reports a line in its status; expected one owner."
    )


def test_line_owner_killed_and_entry_added(make_cluster):
    cluster = make_cluster()

    def inject_faults(cluster, rng):
        time.sleep(5)
        cluster.processes[line_owner(cluster)].kill()
        time.sleep(1)
        cluster.start_entry("entry-late", "devin")

    history = run_load(cluster, inject_faults)
    assert_guarantees(history)
    assert select_operations(history, Category.PLAN, "done")
    wait_until(lambda: are_watches_running(cluster, history))
    wait_until(lambda: have_plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_line_owner_suspended_past_its_lease(make_cluster):
    cluster = make_cluster()

    def inject_faults(cluster, rng):
        time.sleep(2)
        owner_process = cluster.processes[line_owner(cluster)]
        owner_process.send_signal(signal.SIGSTOP)
        time.sleep(6)
        owner_process.send_signal(signal.SIGCONT)

    history = run_load(cluster, inject_faults)
    assert_guarantees(history)
    wait_until(lambda: are_watches_running(cluster, history))
    wait_until(lambda: have_plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_store_outage_longer_than_every_lease(make_cluster):
    cluster = make_cluster()

    def inject_faults(cluster, rng):
        time.sleep(3)
        cluster.set_store_faults(down=True)
        time.sleep(7)
        cluster.set_store_faults()

    history = run_load(cluster, inject_faults, seconds=12)
    assert_guarantees(history)
    checks = select_operations(history, Category.CHECK, "done")
    assert len(checks) >= 0.99 * sum(
        op.category is Category.CHECK for op in history.operations
    )
    wait_until(lambda: are_watches_running(cluster, history))
    wait_until(lambda: have_plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_store_answers_lost_after_the_write(make_cluster):
    cluster = make_cluster()

    def inject_faults(cluster, rng):
        time.sleep(1)
        cluster.set_store_faults(lose_answers=0.3)
        time.sleep(2)
        cluster.processes[line_owner(cluster)].kill()
        time.sleep(4)
        cluster.set_store_faults(slow_s=0.2, lose_answers=0.1)
        time.sleep(2)
        cluster.set_store_faults()

    history = run_load(cluster, inject_faults)
    assert_guarantees(history)
    wait_until(lambda: are_watches_running(cluster, history))
    wait_until(lambda: have_plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_instance_answers_lost_and_instance_suspended(make_cluster):
    cluster = make_cluster()

    def inject_faults(cluster, rng):
        for name in cluster.worker_urls:
            cluster.set_worker_faults(name, lose_answers=0.1)
        time.sleep(2)
        suspended_process = cluster.processes["bench-1"]
        suspended_process.send_signal(signal.SIGSTOP)
        time.sleep(5)
        suspended_process.send_signal(signal.SIGCONT)
        for name in cluster.worker_urls:
            cluster.set_worker_faults(name)

    history = run_load(cluster, inject_faults)
    assert_guarantees(history)
    wait_until(lambda: have_plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_planned_stop_of_all_entries_in_turn(make_cluster):
    cluster = make_cluster()

    def inject_faults(cluster, rng):
        time.sleep(1)
        for number, name in enumerate(list(cluster.caller_urls)):
            cluster.start_entry(f"entry-new-{number}", ("devin", "smolyan")[number % 2])
            process = cluster.processes[name]
            # A repeated SIGTERM must not cut the planned stop short.
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            assert process.popen.wait(40) == 0

    history = run_load(cluster, inject_faults, seconds=14)
    assert_guarantees(history)
    assert not select_operations(history, Category.PLAN, "lost")
    wait_until(lambda: are_watches_running(cluster, history))
    wait_until(lambda: have_plans_ended(cluster, history), PLANS_TIMEOUT_S)


def find_starts(journals):
    """Return when runs were started, by instance."""
    return {
        journal.instance: [run.started_s for run in read_runs(journal)]
        for journal in journals
    }


def test_leaving_instance_gets_no_new_work(make_cluster):
    cluster = make_cluster()
    leaving_since_s = []

    def inject_faults(cluster, rng):
        time.sleep(3)
        # The load may start late.
        wait_until(lambda: find_starts(cluster.journals())["bench-0"])
        cluster.set_platform_instances(leaving=["bench-0"])
        leaving_since_s.append(time.time())

    history = run_load(cluster, inject_faults, seconds=8)
    assert_guarantees(history)
    starts = find_starts(history.journals)
    assert max(starts["bench-0"]) - leaving_since_s[0] < 5
    others = [at_s for name in starts.keys() - {"bench-0"} for at_s in starts[name]]
    assert max(others) > leaving_since_s[0]
    assert select_operations(history, Category.CHECK, "done")


def test_entry_cut_off_from_the_store_only(make_cluster):
    cluster = make_cluster()

    def inject_faults(cluster, rng):
        time.sleep(2)
        owner = line_owner(cluster)
        cluster.relays[owner].cut()
        time.sleep(1)
        other = next(name for name in cluster.live_entries() if name != owner)
        cluster.apply(1, entry=other)
        # The disconnected entry gets the revision from its peers.
        wait_until(lambda: cluster.status(owner)["revision"] == 2, 15)
        time.sleep(4)
        cluster.relays[owner].restore()

    history = run_load(cluster, inject_faults, seconds=12)
    assert_guarantees(history)
    wait_until(cluster.has_converged)
    wait_until(lambda: are_watches_running(cluster, history))
    wait_until(lambda: have_plans_ended(cluster, history), PLANS_TIMEOUT_S)


def test_one_of_concurrent_changes_wins_and_is_repeatable(make_cluster):
    cluster = make_cluster(worker_count=2)
    entries = list(cluster.operator_urls)
    cluster.set_store_faults(lose_answers=0.4)
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
    cluster.set_store_faults()
    winners = [number for number, result in outcomes if result == 2]
    assert len(winners) == 1, outcomes
    assert sorted(result for _, result in outcomes) == [2] + [409] * 5
    # Repeating the accepted change returns its revision and creates no new one.
    assert cluster.apply(1, f"race-{winners[0]}")["number"] == 2
    wait_until(cluster.has_converged, 15)


def test_revision_never_decreases(make_cluster):
    cluster = make_cluster(worker_count=2)
    for base in (1, 2, 3):
        cluster.apply(base)
    wait_until(
        lambda: all(cluster.status(n)["revision"] == 4 for n in cluster.live_entries())
    )
    cluster.set_store_faults(stale_reads=True)
    # Makes the entries reconnect to the store.
    for relay in cluster.relays.values():
        relay.cut()
        relay.restore()
    revisions = []
    deadline = time.monotonic() + 4
    while time.monotonic() < deadline:
        revisions += [
            cluster.status(name)["revision"] for name in cluster.live_entries()
        ]
        time.sleep(0.1)
    assert min(revisions) == 4
    # A new entry gets stale reads from the store and the revision from its peers.
    cluster.start_entry("entry-new", "devin")
    wait_until(lambda: cluster.status("entry-new")["revision"] == 4, 15)


def test_bad_requests_are_refused_with_a_remedy(make_cluster):
    cluster = make_cluster(worker_count=2)
    base_url = f"{cluster.caller_urls['entry-0']}/v1"
    # Above the default limit of 256 KiB.
    long_body = "x" * (300 * 1024)
    work_url, check_url = (
        f"{base_url}/carving/work",
        f"{base_url}/carving/checks/blade-check",
    )
    cases = [
        ("POST", f"{base_url}/nowhere/checks/blade-check", "x", 404, "unknown_name"),
        ("POST", f"{base_url}/carving/checks/sawing", "x", 404, "unknown_name"),
        ("POST", f"{base_url}/carving/checks/carving-plan", "x", 400, "bad_request"),
        (
            "POST",
            f"{base_url}/carving/checks/blade-check",
            long_body,
            413,
            "body_too_large",
        ),
        ("PUT", f"{work_url}/a%20b?kind=carving-plan", "x", 400, "bad_request"),
        (
            "PUT",
            f"{work_url}/a?kind=carving-plan&wait_ms=soon",
            "x",
            400,
            "bad_request",
        ),
        ("PUT", f"{work_url}/a?kind=carving-plan", "one", 202, "accepted"),
        ("PUT", f"{work_url}/a?kind=carving-plan", "one", 202, "accepted"),
        ("PUT", f"{work_url}/a?kind=carving-plan", "two", 409, "duplicate_request"),
        ("GET", f"{work_url}/b", None, 404, "unknown_work"),
    ]
    for method, url, body, status, outcome in cases:
        answer, code = request_as_caller(method, url, body)
        assert (code, answer["outcome"]) == (status, outcome), (url, answer)
        assert status == 202 or answer["remedy"]
    answer, code = request_as_caller("POST", check_url, "x", "-5")
    assert code == 400


def request_as_caller(method, url, body, deadline_ms="900", caller="Devin Workshop"):
    """Send a request to a caller front; return the decoded answer and the status."""
    headers = {"Caller": caller, "Deadline-Ms": deadline_ms}
    data = body.encode() if body is not None else None
    http_request = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(http_request, timeout=30) as answer:
            return json.loads(answer.read()), answer.status
    except urllib.error.HTTPError as exc:
        return json.loads(exc.read()), exc.code
