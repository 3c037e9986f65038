"""Tests of the clocks of a process, on the real reactor under a stepped wall clock."""

import json
import pathlib
import re
import subprocess
import sys
import time

import pytest

from fighead.clock import read_steady_s

SOURCES = pathlib.Path(__file__).parents[1] / "src" / "fighead"
#: What reads a clock of the system, or takes a reactor that may count the time of day.
#: The time stamps of log lines are structlog's.
CLOCK_READS = re.compile(
    r"""\b(?: time\.(?:time|monotonic|perf_counter|clock_gettime)(?:_ns)?\b
           | time\.(?:gmtime|localtime|ctime|strftime)\b
           | (?:datetime|date)\.(?:now|utcnow|today)\b
           | from\ time\ import
           | import\ reactor\b | reactor\.seconds\b )""",
    re.VERBOSE,
)
#: The modules that may do so.
CLOCK_MODULES = {"clock.py", "runtime.py"}

#: Defines ``start``, which sets timers on the reactor of a program, steps the wall
#: clock 0.1 s later and prints what has fired 0.6 s after that. A thread takes these
#: times, because the timers of the reactor are what is tested.
SCRIPT_START = """
import datetime as dt, json, os, sys, threading, time

step_s, step, read_time = float(sys.argv[1]), [0.0], time.time
time.time = lambda: read_time() + step[0]

import fighead.clock
read_wall_time = fighead.clock.read_wall_time
fighead.clock.read_wall_time = lambda: read_wall_time() + dt.timedelta(seconds=step[0])

from fighead.clock import Timeout, sleep, with_timeout
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

SHORT, LONG = dt.timedelta(seconds=0.3), dt.timedelta(seconds=60)
seen = []

def watch(name, fut):
    fut.addCallbacks(lambda _: seen.append(name), lambda f: seen.append(name))

def finish(clock, started_at):
    print(json.dumps({
        "seen": sorted(set(seen)),
        "ticks": seen.count("tick"),
        "elapsed_s": (clock.now() - started_at).total_seconds(),
        "wall_elapsed_s": (clock.wall_now() - started_at).total_seconds(),
    }), flush=True)
    os._exit(0)

def step_and_finish(reactor, clock, started_at):
    time.sleep(0.1)
    step[0] = step_s
    reactor.callFromThread(lambda: None)
    time.sleep(0.6)
    reactor.callFromThread(finish, clock, started_at)

def start(reactor, clock):
    watch("short sleep", sleep(clock, SHORT))
    watch("long sleep", sleep(clock, LONG))
    watch("short timeout", with_timeout(clock, Deferred(), SHORT))
    watch("long timeout", with_timeout(clock, Deferred(), LONG))
    restarted = Timeout(clock, SHORT)
    watch("restarted timeout", restarted.apply(Deferred()))
    reactor.callLater(0.2, restarted.restart, LONG)
    reactor.callLater(0.2, seen.append, "short call")
    reactor.callLater(60, seen.append, "long call")
    LoopingCall(lambda: seen.append("tick")).start(0.1)
    args = (reactor, clock, clock.now())
    threading.Thread(target=step_and_finish, args=args, daemon=True).start()
"""

DAEMON_SCRIPT = (
    SCRIPT_START
    + """
from fighead.runtime import make_clock, reactor, run_until_stopped
clock = make_clock()
reactor.callWhenRunning(start, reactor, clock)
run_until_stopped(reactor.stop)
"""
)

COMMAND_SCRIPT = (
    SCRIPT_START
    + """
from fighead.console import run_command
async def main(reactor, clock):
    start(reactor, clock)
    await Deferred()
run_command(main)
"""
)


@pytest.mark.parametrize(
    "script", [DAEMON_SCRIPT, COMMAND_SCRIPT], ids=["daemon", "command"]
)
@pytest.mark.parametrize("step_s", [3600, -3600], ids=["ahead", "back"])
def test_a_step_of_the_wall_clock_moves_no_timer(script, step_s):
    args = [sys.executable, "-c", script, str(step_s)]
    done = subprocess.run(args, capture_output=True, text=True, timeout=20, check=True)
    result = json.loads(done.stdout)
    assert result["seen"] == ["short call", "short sleep", "short timeout", "tick"]
    assert 0.6 <= result["elapsed_s"] < 5
    assert 0.6 <= result["wall_elapsed_s"] - step_s < 5
    assert result["ticks"] >= 4


def test_time_of_a_suspended_machine_counts(monkeypatch):
    read_clock, suspended_s = time.clock_gettime, 5.0

    def read_after_suspension(clock_id):
        is_counted = clock_id in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return read_clock(clock_id) + (suspended_s if is_counted else 0.0)

    before_s = read_steady_s()
    monkeypatch.setattr(time, "clock_gettime", read_after_suspension)
    assert read_steady_s() - before_s >= suspended_s


def test_no_other_module_reads_the_clocks_of_the_system():
    found = [
        f"{path.relative_to(SOURCES)}:{number}: {line.strip()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if str(path.relative_to(SOURCES)) not in CLOCK_MODULES
        for number, line in enumerate(path.read_text("utf-8").splitlines(), 1)
        if CLOCK_READS.search(line)
    ]
    assert not found
