"""Interleavings that once broke a promise, step by step."""

import pytest

from test_world import Interleavings

#: A plan that stays assigned for ever.
STUCK_PLAN = (
    ("offer_check", {"number": 503}),
    ("submit", {"kind": "plan"}),
    ("poll", {"index": 88}),
    ("cancel", {"index": 719}),
    ("offer_check", {"number": 126}),
    ("new_line", {}),
    ("offer_check", {"number": 109}),
    ("submit_again", {"index": 799}),
    ("restart_instance", {"name": "i0"}),
    ("poll_fails", {"index": 758}),
    ("cancel", {"index": 53}),
    ("submit_again", {"index": 355}),
    ("settle_write", {"answer_is_lost": True, "index": 976}),
    ("submit", {"kind": "again"}),
    ("new_line", {}),
    ("poll", {"index": 250}),
    ("restart_instance", {"name": "i0"}),
    ("calm_down", {}),
    ("poll_fails", {"index": 132}),
    ("calm_down", {}),
    ("new_line", {}),
    ("submit", {"kind": "plan"}),
    ("submit_again", {"index": 100}),
    ("poll_fails", {"index": 15}),
    ("report_loads", {}),
    ("offer_check", {"number": 273}),
    ("calm_down", {}),
    ("submit_again", {"index": 95}),
    ("cancel", {"index": 202}),
    ("report_loads", {}),
    ("submit", {"kind": "watch"}),
    ("submit_again", {"index": 480}),
    ("submit_again", {"index": 394}),
    ("new_line", {}),
    ("report_loads", {}),
    ("settle_write", {"answer_is_lost": False, "index": 385}),
    ("restart_instance", {"name": "i1"}),
    ("new_line", {}),
    ("submit", {"kind": "plan"}),
    ("offer_check", {"number": 142}),
)


@pytest.mark.parametrize("steps", [STUCK_PLAN], ids=["stuck plan"])
def test_the_promises_are_kept(steps):
    machine = Interleavings()
    for name, arguments in steps:
        getattr(machine, name)(**arguments)
        machine.promises_are_kept()
    machine.teardown()
