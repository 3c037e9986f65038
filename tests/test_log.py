"""Tests that logging is rate-limited and never blocks on its reader."""

import json
import os

import pytest

from fighead.log import BURST_LINES, LINES_PER_S, BoundedWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


class ManualTime:
    now = 0.0

    def __call__(self):
        return self.now


def read_lines(reader):
    os.set_blocking(reader, False)
    try:
        return os.read(reader, 1 << 20).decode().splitlines()
    except BlockingIOError:
        return []


def test_a_full_pipe_drops_lines_and_says_how_many(pipe):
    reader, writer = pipe
    log = BoundedWriter(writer, ManualTime())
    for _ in range(700):
        log.msg(json.dumps({"text": "x" * 1000}))
    assert log.dropped_lines
    complete = [json.loads(line) for line in read_lines(reader)[:-1]]
    assert len(complete) > 10
    log.msg(json.dumps({"text": "again"}))
    last = read_lines(reader)[-1]
    assert json.loads(last)["lines_dropped"] > 0


def test_the_rate_is_bounded_but_warnings_still_pass(pipe):
    reader, writer = pipe
    time = ManualTime()
    log = BoundedWriter(writer, time)
    for _ in range(BURST_LINES + 50):
        log.msg("{}")
    assert log.dropped_lines == 50
    log.warning('{"level": "warning"}')
    assert json.loads(read_lines(reader)[-1])["lines_dropped"] == 50
    time.now = 1.0
    for _ in range(LINES_PER_S + 10):
        log.msg("{}")
    assert log.dropped_lines > 0
