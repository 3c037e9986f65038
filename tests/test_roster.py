"""Tests of what an owner tells of its instances."""

from attrs import evolve

from fighead.codec import to_wire
from fighead.message import InstanceLoad, LoadReport
from fighead.tasks.roster import changed_loads

TASKS = tuple(f"carving/Smolyan Workshop/plan-{n}#1" for n in range(22))
LOADS = {
    f"i{n}": InstanceLoad(f"i{n}", "u", 1, "boot", 1, 4, 0, batch_tasks=TASKS)
    for n in range(24)
}


def test_only_what_changed_is_told():
    changed = LOADS | {"i3": evolve(LOADS["i3"], free_slots=2)}
    (told,) = changed_loads(LOADS, changed)
    assert told == evolve(changed["i3"], batch_tasks=None)
    more = LOADS | {"i3": evolve(LOADS["i3"], batch_tasks=TASKS[1:])}
    assert changed_loads(LOADS, more) == (more["i3"],)
    assert changed_loads({}, LOADS) == tuple(LOADS.values())


def test_a_report_without_changes_is_small():
    whole = to_wire(LoadReport("e", changed_loads({}, LOADS)))
    quiet = to_wire(LoadReport("e", changed_loads(LOADS, LOADS)))
    assert len(quiet) < 64 < len(whole)
