"""Tests that logging is rate-limited and never blocks on its reader."""

import json
import os

import pytest
import structlog

from fighead.log import (
    BURST_LINES,
    KEPT_NUMBERS,
    LINES_PER_S,
    BoundedWriter,
    Event,
    make_processors,
)


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


def test_the_lines_on_a_leader_pass_while_others_are_dropped(pipe):
    reader, writer = pipe
    log = BoundedWriter(writer, ManualTime())
    logger = structlog.wrap_logger(log, make_processors())
    for _ in range(BURST_LINES + 50):
        logger.info("x", number=Event.RUN_ORDERED.number)
        read_lines(reader)
    assert log.dropped_lines == 50
    for number in KEPT_NUMBERS:
        logger.info("x", number=number)
    written = [json.loads(line)["number"] for line in read_lines(reader)]
    assert set(written) == KEPT_NUMBERS


def test_kept_lines_are_bounded_like_warnings(pipe):
    reader, writer = pipe
    log = BoundedWriter(writer, ManualTime())
    for _ in range(3 * BURST_LINES):
        log.msg("{}", is_kept=True)
    assert log.dropped_lines == BURST_LINES


def test_a_line_that_is_dropped_is_not_rendered(pipe):
    reader, writer = pipe
    log = BoundedWriter(writer, ManualTime())
    rendered = []

    class Field:
        def __str__(self):
            rendered.append(self)
            return "x"

    logger = structlog.wrap_logger(log, make_processors())
    for _ in range(BURST_LINES):
        logger.info("x", number=Event.RUN_ORDERED.number)
        read_lines(reader)
    logger.info("x", number=Event.RUN_ORDERED.number, field=Field())
    assert not rendered and log.dropped_lines == 1
    logger.warning("x", number=Event.INSTANCE_SILENT.number, field=Field())
    assert len(rendered) == 1
