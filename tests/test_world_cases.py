"""Interleavings that once broke a guarantee, replayed step by step."""

import pytest

from test_world import Interleavings

#: Left a plan in the assigned phase forever.
STUCK_PLAN = (
    ("offer_check", {"number": 503}),
    ("submit", {"kind": "plan"}),
    ("poll", {"index": 88}),
    ("cancel", {"index": 719}),
    ("offer_check", {"number": 126}),
    ("new_line_holder", {}),
    ("offer_check", {"number": 109}),
    ("submit_again", {"index": 799}),
    ("restart_instance", {"name": "i0"}),
    ("poll_fails", {"index": 758}),
    ("cancel", {"index": 53}),
    ("submit_again", {"index": 355}),
    ("settle_write", {"answer_is_lost": True, "index": 976}),
    ("submit", {"kind": "again"}),
    ("new_line_holder", {}),
    ("poll", {"index": 250}),
    ("restart_instance", {"name": "i0"}),
    ("complete_pending", {}),
    ("poll_fails", {"index": 132}),
    ("complete_pending", {}),
    ("new_line_holder", {}),
    ("submit", {"kind": "plan"}),
    ("submit_again", {"index": 100}),
    ("poll_fails", {"index": 15}),
    ("report_loads", {}),
    ("offer_check", {"number": 273}),
    ("complete_pending", {}),
    ("submit_again", {"index": 95}),
    ("cancel", {"index": 202}),
    ("report_loads", {}),
    ("submit", {"kind": "watch"}),
    ("submit_again", {"index": 480}),
    ("submit_again", {"index": 394}),
    ("new_line_holder", {}),
    ("report_loads", {}),
    ("settle_write", {"answer_is_lost": False, "index": 385}),
    ("restart_instance", {"name": "i1"}),
    ("new_line_holder", {}),
    ("submit", {"kind": "plan"}),
    ("offer_check", {"number": 142}),
)


@pytest.mark.parametrize("steps", [STUCK_PLAN], ids=["stuck plan"])
def test_guarantees_hold(steps):
    machine = Interleavings()
    for name, arguments in steps:
        getattr(machine, name)(**arguments)
        machine.guarantees_hold()
    machine.teardown()
