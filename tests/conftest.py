"""Fixtures that several test files use."""

import pytest
from twisted.python import log

pytest.register_assert_rewrite("limited_cluster")


@pytest.fixture
def failures():
    """Collect the unexpected errors that tasks log."""
    found = []

    def observe(event):
        if event.get("isError"):
            found.append(log.textFromEventDict(event))

    log.addObserver(observe)
    yield found
    log.removeObserver(observe)
