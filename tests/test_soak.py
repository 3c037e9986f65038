"""The soak: what its checks find, what it draws, and a short run of real programs."""

import contextlib
import socket

import pytest
from attrs import evolve
from soak import checks, report
from soak.__main__ import read_seeds
from soak.fleet import Fleet, find_free_ports
from soak.model import Fault, JobSeen, Kind, Result, RunSeen, Step
from soak.plan import LOAD_S, PAIRS, REGISTERED_S, draw_faults
from soak.player import Player, find_running, is_settled
from soak.proxy import LinkProxy, Mode
from twisted.internet.testing import MemoryReactorClock, StringTransport

CORES = 8
CUTS = (Kind.INSTANCE_STORE_LINK_SILENT, Kind.INSTANCE_STORE_LINK_RESET)
STEPS = (Step(2, 5000), Step(1, 1000, (0,)))
JOB = JobSeen("a" * 16, STEPS, 100, 0.0, [200], final_state="completed")


def task(step=0, index=0):
    return f"{JOB.job_id}.0.{step}.{index}"


def seen(at_s, event, name=None, instance="i0", run=1):
    return RunSeen(at_s, event, instance, name or task(), run)


#: A history without a breach: both steps run, and their ends are recorded.
HISTORY = (
    seen(1, "started"),
    seen(1, "started", task(0, 1), "i1"),
    seen(2, "done"),
    seen(2, "done", task(0, 1), "i1"),
    seen(2.2, "acknowledged done"),
    seen(3, "started", task(1), "i1"),
    seen(4, "done", task(1), "i1"),
)


def promises(runs=HISTORY, job=JOB):
    return [b.promise for b in checks.find_breaches([job], runs, CORES)]


def test_a_history_that_keeps_all_promises_has_no_breach():
    assert promises() == []


@pytest.mark.parametrize(
    ("extra", "promise"),
    [
        ((seen(1.5, "started", None, "i1", 2),), "twice"),
        ((seen(2.5, "started", None, "i1", 2),), "twice"),
        ((seen(1.5, "started", task(1), "i2"),), "order"),
        ((seen(1.5, "started", "b" * 16 + ".0.0.0", "i2"),), "unasked"),
        ((seen(1.5, "started", task(0, 1), "i0", 9),), "limit"),
    ],
)
def test_a_start_that_must_not_be_is_found(extra, promise):
    assert promise in promises((*HISTORY, *extra))


def test_a_run_after_a_lapse_or_a_crash_is_allowed():
    for end in ("lapsed", "crashed", "stopped"):
        runs = (seen(0.1, "started", run=1), seen(0.5, end, run=1))
        later = [evolve(each, run=2) if each.run == 1 else each for each in HISTORY]
        assert promises((*runs, *later)) == []


def test_a_refused_job_that_runs_is_found():
    assert "refused" in promises(job=evolve(JOB, statuses=[503, 429]))
    # The answer to one attempt was lost, so nobody was told that it never runs.
    assert "refused" not in promises(job=evolve(JOB, statuses=[503, 0]))


def test_an_accepted_job_that_is_not_completed_is_found():
    assert promises(job=evolve(JOB, final_state="running")) == ["lost"]
    assert promises(job=evolve(JOB, final_state="status 410")) == ["lost"]


def test_a_lasting_job_without_a_running_task_is_found():
    job = evolve(JOB, steps=(Step(1, 500, lasts=True),), final_state="running")
    assert promises((seen(1, "started"), seen(2, "lapsed")), job) == ["lost"]
    assert promises((seen(1, "started"),), job) == []


def test_what_runs_after_a_cancellation_is_found():
    job = evolve(JOB, is_cancel_sent=True, cancelled_s=0.5, final_state="cancelled")
    assert promises((seen(1, "started"),), job) == ["unasked"]
    late = (seen(6, "started"), seen(7, "done"))
    assert promises(late, job) == ["unasked"]
    early = (seen(0.4, "started"), seen(0.9, "stopped"))
    assert promises(early, job) == []


def test_the_runs_of_a_killed_instance_are_those_that_have_not_ended():
    runs = [*HISTORY[:2], seen(2, "done")]
    assert find_running(runs, "i0") == []
    assert [each.task for each in find_running(runs, "i1")] == [task(0, 1)]


def test_a_seed_always_draws_the_same_overlapping_faults_of_all_kinds():
    drawn = [draw_faults(seed, 3, 3) for seed in range(60)]
    assert drawn == [draw_faults(seed, 3, 3) for seed in range(60)]
    assert {fault.kind for faults in drawn for fault in faults} == set(Kind)
    for faults in drawn:
        assert all(0 < fault.at_s < LOAD_S for fault in faults)
        pairs = [fault for fault in faults if fault.kind not in CUTS]
        assert len(pairs) == 2 * PAIRS + (len(pairs) < len(faults))


def test_registrations_lapse_before_the_leaders_fault_and_not_all_of_them():
    with_cuts = 0
    for seed in range(60):
        faults = draw_faults(seed, 3, 3)
        cuts = [fault for fault in faults if fault.kind in CUTS]
        if not cuts:
            continue
        with_cuts += 1
        assert len({fault.target for fault in cuts}) == len(cuts) < 3
        (lapsed_s,) = {fault.at_s + REGISTERED_S for fault in cuts}
        (end_s,) = {fault.at_s + fault.for_s for fault in cuts}
        assert any(
            fault.kind.name.startswith("LEADER") and lapsed_s <= fault.at_s < end_s
            for fault in faults
        )
    assert 20 < with_cuts < 40


def test_a_kept_seed_keeps_its_pairs():
    faults = [fault.kind.name for fault in draw_faults(4, 3, 3)]
    assert faults[:3] == ["STORE_FORGETS", "INSTANCE_PAUSED", "STORE_LINK_SLOW"]
    assert faults[3:] == ["ENTRY_STOPPED", "INSTANCE_LINK_SILENT", "ALL_KILLED"]


def test_a_proxy_never_takes_the_port_of_a_process():
    ports = find_free_ports(20)
    with contextlib.ExitStack() as stack:
        for port in ports:
            stack.enter_context(socket.create_server(("127.0.0.1", port)))
        assert set(ports).isdisjoint(find_free_ports(1000))
        servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(50)]
        chosen = [stack.enter_context(each).getsockname()[1] for each in servers]
    assert max(ports) < min(chosen)


def test_an_instance_reaches_the_store_by_a_link_of_its_own(tmp_path, monkeypatch):
    commands = []
    monkeypatch.setattr(
        "soak.fleet.subprocess.Popen", lambda c, **_: commands.append(c)
    )
    player = Player(MemoryReactorClock(), None, tmp_path, 1, 1, 1)
    fleet = player.fleet
    fleet.start()
    fleet.store_links["i0"].port = 4321
    fleet.start_instance("i0")
    assert commands[-1][-1] == "127.0.0.1:4321"
    for cut in CUTS:
        assert player._link_of(Fault(cut, 0, 1.0, 1.0)) is fleet.store_links["i0"]


def test_pairs_count_only_if_they_overlap():
    faults = (
        Fault(Kind.STORE_BUSY, 0, 1.0, 2.0),
        Fault(Kind.ENTRY_KILLED, 0, 2.0, 1.0),
        Fault(Kind.ENTRY_PAUSED, 0, 9.0, 1.0),
    )
    pairs = report.count_pairs([Result(1, faults)])
    assert dict(pairs) == {("ENTRY_KILLED", "STORE_BUSY"): 1}


def test_a_timeline_names_breaches_faults_and_runs():
    result = Result(1, (Fault(Kind.STORE_BUSY, 0, 1.0, 2.0),), [JOB], list(HISTORY))
    result.breaches = [checks.Breach("lost", "a job")]
    text = report.write_timeline(result)
    assert text.startswith("BREACH lost") and "FAULT store is busy" in text
    assert task(1) in text


def test_the_page_plots_what_was_done_and_names_the_faults():
    result = Result(1, (Fault(Kind.STORE_BUSY, 0, 1.0, 2.0),), [JOB], list(HISTORY))
    page = report.write_page([result])
    assert "<svg" in page and "store_busy" in page and "http://" in page
    assert "src=" not in page


def test_seeds_are_numbers_and_ranges():
    assert read_seeds("1-3,7") == [1, 2, 3, 7] and read_seeds("(4, 5)") == [4, 5]


def test_only_jobs_whose_end_is_owed_are_waited_for():
    assert is_settled(JOB) and is_settled(evolve(JOB, statuses=[503], final_state=""))
    assert not is_settled(evolve(JOB, final_state="running"))


def test_a_process_that_overlapping_faults_start_runs_once(tmp_path, monkeypatch):
    started = []

    class Process:
        def __init__(self, command, **_):
            started.append(command)

        def poll(self):
            return None

    monkeypatch.setattr("soak.fleet.subprocess.Popen", Process)
    fleet = Fleet(MemoryReactorClock(), tmp_path, 1, 1)
    fleet.start()
    fleet.start_entry("e0")
    fleet.start_entry("e0")
    assert [command[4] for command in started] == ["store", "serve"]


# The proxy.


@pytest.fixture
def link():
    reactor = MemoryReactorClock()
    return LinkProxy(reactor, 80).start()


def connect(link):
    """Connect a client through the proxy; return both sides with their transports."""
    factory = link.reactor.tcpServers[-1][1]
    client = factory.buildProtocol(None)
    client.makeConnection(StringTransport())
    server = link.reactor.tcpClients[-1][2].buildProtocol(None)
    server.makeConnection(StringTransport())
    return client, server._wrappedProtocol


def test_a_link_passes_data_both_ways(link):
    client, server = connect(link)
    client.dataReceived(b"question")
    server.dataReceived(b"answer")
    assert server.transport.value() == b"question"
    assert client.transport.value() == b"answer"


def test_a_connection_that_lost_data_stays_silent(link):
    client, server = connect(link)
    link.set_mode(Mode.ONE_WAY)
    client.dataReceived(b"question")
    server.dataReceived(b"answer")
    link.set_mode(Mode.PASS)
    server.dataReceived(b"more")
    assert server.transport.value() == b"question"
    assert client.transport.value() == b""


def test_a_slow_link_passes_data_later(link):
    client, server = connect(link)
    link.set_mode(Mode.SLOW)
    client.dataReceived(b"question")
    assert server.transport.value() == b""
    link.reactor.advance(1)
    assert server.transport.value() == b"question"


def test_a_reset_link_aborts_open_and_new_connections(link):
    client, server = connect(link)
    link.set_mode(Mode.RESET)
    assert client.transport.disconnected and server.transport.disconnected
    factory = link.reactor.tcpServers[-1][1]
    late = factory.buildProtocol(None)
    late.makeConnection(StringTransport())
    assert late.transport.disconnected
