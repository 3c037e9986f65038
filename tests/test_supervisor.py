"""Tests of the load reports on an owner's instances."""

from attrs import evolve

from fighead.codec import to_wire
from fighead.message import InstanceLoad, LoadReport
from fighead.tasks.supervisor import changed_loads

TASKS = tuple(f"carving/Smolyan Workshop/plan-{n}#1" for n in range(22))
LOADS = {
    f"i{n}": InstanceLoad(f"i{n}", "u", 1, "boot", 1, 4, 0, batch_tasks=TASKS)
    for n in range(24)
}


def test_only_changed_loads_are_reported():
    changed = LOADS | {"i3": evolve(LOADS["i3"], free_slots=2)}
    (sent,) = changed_loads(LOADS, changed)
    assert sent == evolve(changed["i3"], batch_tasks=None)
    with_fewer_tasks = LOADS | {"i3": evolve(LOADS["i3"], batch_tasks=TASKS[1:])}
    assert changed_loads(LOADS, with_fewer_tasks) == (with_fewer_tasks["i3"],)
    assert changed_loads({}, LOADS) == tuple(LOADS.values())


def test_a_report_without_changes_is_small():
    full = to_wire(LoadReport("e", changed_loads({}, LOADS)))
    unchanged = to_wire(LoadReport("e", changed_loads(LOADS, LOADS)))
    assert len(unchanged) < 64 < len(full)
