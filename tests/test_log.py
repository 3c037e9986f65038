"""Tests that logging is bounded and never waits for its reader."""

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


class Time:
    now = 0.0

    def __call__(self):
        return self.now


def lines(reader):
    os.set_blocking(reader, False)
    try:
        return os.read(reader, 1 << 20).decode().splitlines()
    except BlockingIOError:
        return []


def test_a_full_pipe_drops_lines_and_says_how_many(pipe):
    reader, writer = pipe
    log = BoundedWriter(writer, Time())
    for _ in range(700):
        log.msg(json.dumps({"text": "x" * 1000}))
    assert log.dropped
    whole = [json.loads(line) for line in lines(reader)[:-1]]
    assert len(whole) > 10
    log.msg(json.dumps({"text": "again"}))
    last = lines(reader)[-1]
    assert json.loads(last)["lines_dropped"] > 0


def test_the_rate_is_bounded_but_warnings_still_pass(pipe):
    reader, writer = pipe
    time = Time()
    log = BoundedWriter(writer, time)
    for _ in range(BURST_LINES + 50):
        log.msg("{}")
    assert log.dropped == 50
    log.warning('{"level": "warning"}')
    assert json.loads(lines(reader)[-1])["lines_dropped"] == 50
    time.now = 1.0
    for _ in range(LINES_PER_S + 10):
        log.msg("{}")
    assert log.dropped > 0
