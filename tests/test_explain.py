"""Tests of collecting the events of a job from logs."""

import json
import subprocess
import sys

from fighead.queries.explain import find_events

JOB = "5c0e7a21d94b36f8"


def make_line(timestamp, entry, event, **fields):
    body = {"timestamp": timestamp, "entry": entry, "event_name": event, "number": 1}
    return json.dumps({**body, "level": "info", "event": "Text.", **fields})


LINES = [
    "  3.1 e2 "
    + make_line("2030-01-01T00:00:03", "e2", "run_ended", task=f"{JOB}.0.0.1"),
    make_line("2030-01-01T00:00:01", "e1", "job_accepted", job=JOB),
    make_line(
        "2030-01-01T00:00:02", "e2", "run_ordered", task="0000000000000000.0.0.0"
    ),
    f"no event of {JOB}",
    f"{{broken {JOB}",
]


def test_events_of_all_entries_are_ordered_by_time():
    found = [(event.entry, event.event) for event in find_events(LINES, JOB)]
    assert found == [("e1", "job_accepted"), ("e2", "run_ended")]


def test_command_reads_files_and_standard_input(tmp_path):
    log = tmp_path / "e1.log"
    log.write_text("\n".join(LINES))
    command = [sys.executable, "-m", "fighead", "explain", JOB]
    by_file = subprocess.run([*command, str(log)], capture_output=True, text=True)
    by_input = subprocess.run(
        command, input=log.read_text(), capture_output=True, text=True
    )
    assert by_file.stdout == by_input.stdout
    assert by_file.stdout.index("job_accepted") < by_file.stdout.index("run_ended")


def test_id_that_looks_like_a_number_stays_a_string(tmp_path):
    # Parsed as a number, this id would become a float.
    log = tmp_path / "e1.log"
    log.write_text(
        make_line("2030-01-01T00:00:01", "e1", "job_taken", job="1234567890123e45")
    )
    command = [sys.executable, "-m", "fighead", "explain", "1234567890123e45"]
    answer = subprocess.run([*command, str(log)], capture_output=True, text=True)
    assert "job_taken" in answer.stdout


def test_unknown_name_is_reported(tmp_path):
    log = tmp_path / "e1.log"
    log.write_text("\n".join(LINES))
    command = [sys.executable, "-m", "fighead", "explain", "ffffffffffffffff"]
    answer = subprocess.run([*command, str(log)], capture_output=True, text=True)
    assert answer.returncode == 1 and "nothing is logged" in answer.stdout
