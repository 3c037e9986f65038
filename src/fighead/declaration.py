"""Declarations of inventory and rules: INI files, checked as a whole."""

import configparser
import csv
import datetime as dt
import pathlib
import typing as t

from attrs import evolve, fields_dict

from .caller import fold
from .decisions.policy import POLICIES
from .exceptions import DeclarationError
from .ini import (
    Reader,
    Section,
    read_flag,
    read_list,
    read_milliseconds,
    read_name,
    read_positive,
    read_seconds,
    read_share,
)
from .model import Caller, Category, Instance, Inventory, Kind, Rack, Upstream

GIB = 1 << 30
#: Most bytes that the store holds in one value.
MAX_VALUE_BYTES = 1 << 20
_REMEDY = "Correct the files by docs/declarations.md; nothing was changed."


def load_folder(path: str) -> Inventory:
    """Read all INI files of a folder and check them together.

    :raises DeclarationError: Naming every fault at once.

    .. versionadded:: 0.1
    """
    folder = pathlib.Path(path)
    files = sorted(folder.glob("*.ini"))
    if not files:
        raise DeclarationError(
            f"{path} holds no INI file.", "Give the folder of the declarations."
        )
    sections: list[tuple[str, str, Section]] = []
    faults: list[str] = []
    for file in files:
        sections.extend(_read_file(file, faults))
    return _build(sections, faults)


def parse_text(text: str, name: str = "text") -> Inventory:
    """Read declarations from one text.

    :raises DeclarationError: Naming every fault at once.
    """
    faults: list[str] = []
    return _build(list(_split(text, name, faults)), faults)


def _read_file(
    file: pathlib.Path, faults: list[str]
) -> t.Iterator[tuple[str, str, Section]]:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        faults.append(f"{file.name} can't be read: {exc}")
        return
    yield from _split(text, file.name, faults)


def _split(
    text: str, name: str, faults: list[str]
) -> t.Iterator[tuple[str, str, Section]]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=name)
    except configparser.Error as exc:
        faults.append(f"{name}: {exc}")
        return
    for title in parser.sections():
        sort, _, label = title.partition(" ")
        where = f"{name}: [{title}]"
        yield sort, label.strip(), Section(where, parser[title])


def _build(sections: list[tuple[str, str, Section]], faults: list[str]) -> Inventory:
    found: dict[str, dict[str, t.Any]] = {sort: {} for sort in _READERS}
    for sort, label, section in sections:
        read = _READERS.get(sort)
        if read is None or not label:
            faults.append(f"{section.where} is unknown: use one of {_SORTS}")
            continue
        if label in found[sort]:
            faults.append(f"{section.where} stands twice: keep one")
            continue
        value = read(label, section)
        section.finish()
        faults.extend(section.faults)
        if value is not None and not section.faults:
            found[sort][label] = value
    if not faults:
        inventory = _collect(found)
        faults.extend(check_inventory(inventory))
    if faults:
        raise DeclarationError("; ".join(faults) + ".", _REMEDY)
    return inventory


def _collect(found: dict[str, dict[str, t.Any]]) -> Inventory:
    racks = found["rack"]
    instances = {
        name: evolve(
            instance,
            availability_zone=racks[instance.rack].availability_zone
            if instance.rack in racks
            else "",
        )
        for name, instance in found["instance"].items()
    }
    return Inventory(
        tuple(sorted(found["availability_zone"])),
        racks,
        instances,
        found["upstream"],
        found["kind"],
        found["caller"],
    )


def check_inventory(inventory: Inventory) -> list[str]:
    """Return what does not fit together, one sentence for each fault."""
    faults = []
    for rack in inventory.racks.values():
        if rack.availability_zone not in inventory.availability_zones:
            faults.append(
                f"rack {rack.name} names the unknown availability zone "
                f"{rack.availability_zone!r}: declare it"
            )
    for instance in inventory.instances.values():
        faults.extend(_check_instance(inventory, instance))
    for kind in inventory.kinds.values():
        faults.extend(_check_kind(inventory, kind))
    faults.extend(_check_spellings(inventory))
    return faults


def _check_instance(inventory: Inventory, instance: Instance) -> t.Iterator[str]:
    if instance.rack not in inventory.racks:
        yield f"instance {instance.name} names the unknown rack {instance.rack!r}"
    if instance.upstream not in inventory.upstreams:
        yield (
            f"instance {instance.name} names the unknown upstream {instance.upstream!r}"
        )
    twins = [
        other.name
        for other in inventory.instances.values()
        if other.address == instance.address and other.name < instance.name
    ]
    if twins:
        yield f"instance {instance.name} has the same address as {twins[0]}"


def _check_kind(inventory: Inventory, kind: Kind) -> t.Iterator[str]:
    if kind.upstream not in inventory.upstreams:
        yield f"kind {kind.name} names the unknown upstream {kind.upstream!r}"
        return
    if kind.category is Category.CHECK and kind.non_idempotent:
        yield f"kind {kind.name} is a check, so it can't be non_idempotent"
    if kind.category is Category.WATCH and kind.non_idempotent:
        yield f"kind {kind.name} is a watch, so it can't be non_idempotent"
    instances = inventory.instances_of(kind.upstream)
    if instances and all(i.memory_bytes < kind.memory_bytes for i in instances):
        yield f"kind {kind.name} needs more memory than any instance has"


def _check_spellings(inventory: Inventory) -> t.Iterator[str]:
    owners: dict[str, str] = {}
    for caller in inventory.callers.values():
        for spelling in (caller.name, *caller.aliases):
            owner = owners.setdefault(fold(spelling), caller.name)
            if owner != caller.name:
                yield f"the spelling {spelling!r} belongs to {owner} and {caller.name}"


def _gib(raw: str) -> int:
    return int(read_positive(float)(raw) * GIB)


def _category(raw: str) -> Category:
    try:
        return Category(raw)
    except ValueError as exc:
        raise ValueError("use check, plan or watch") from exc


def _policy(raw: str) -> str:
    if raw not in POLICIES:
        raise ValueError(f"use one of {', '.join(POLICIES)}")
    return raw


def _url(raw: str) -> str:
    scheme, _, rest = raw.partition("://")
    if scheme not in ("http", "https") or ":" not in rest:
        raise ValueError("write it as http://IP:port")
    return raw.rstrip("/")


def _check_label(label: str, section: Section, read: Reader = read_name) -> bool:
    try:
        read(label)
    except ValueError as exc:
        section.faults.append(f"{section.where}: {exc}")
        return False
    return True


def _read_zone(label: str, section: Section) -> str:
    _check_label(label, section)
    return label


def _read_rack(label: str, section: Section) -> Rack:
    _check_label(label, section)
    return Rack(label, section.take("availability_zone", read_name))


def _read_instance(label: str, section: Section) -> Instance:
    _check_label(label, section)
    return Instance(
        name=label,
        upstream=section.take("upstream", read_name),
        rack=section.take("rack", read_name),
        availability_zone="",
        address=section.take("address", _url),
        slots=section.take("slots", read_positive(int), 8),
        connections=section.take("connections", read_positive(int), 64),
        cores=section.take("cores", read_positive(float), 64.0),
        memory_bytes=section.take("memory_gib", _gib, 250 * GIB),
        leaving=section.take("leaving", read_flag, False),
    )


def _read_upstream(label: str, section: Section) -> Upstream:
    _check_label(label, section)
    upstream = Upstream(
        label,
        section.take("check_floor", read_share, 0.25),
        section.take("batch_floor", read_share, 0.375),
        section.take("watch_floor", read_share, 0.25),
        section.take("policy", _policy, "adaptive"),
    )
    if upstream.check_floor + upstream.batch_floor > 1:
        section.faults.append(
            f"{section.where} check_floor and batch_floor exceed 1 together"
        )
    return upstream


def _read_kind(label: str, section: Section) -> Kind | None:
    upstream, _, name = label.partition("/")
    if not name:
        section.faults.append(f"{section.where}: write it as [kind UPSTREAM/NAME]")
        return None
    _check_label(upstream, section)
    _check_label(name, section)
    category = section.take("category", _category)
    is_check = category is Category.CHECK
    default_deadline = dt.timedelta(seconds=1 if is_check else 30)
    return Kind(
        name=name,
        upstream=upstream,
        category=category,
        deadline=section.take("deadline_ms", read_milliseconds, default_deadline),
        non_idempotent=section.take("non_idempotent", read_flag, False),
        weight=section.take("weight", read_positive(float), 1.0),
        cores=section.take("cores", read_positive(float), 1.0),
        memory_bytes=section.take("memory_gib", _gib, GIB),
        run_time=section.take("run_time_s", read_seconds, dt.timedelta(seconds=1)),
        objective=section.take("objective", read_share, 0.999),
    )


def _read_caller(label: str, section: Section) -> Caller:
    return Caller(
        label,
        section.take("aliases", read_list, ()),
        section.take("weight", read_positive(float), 1.0),
        section.take("max_queued", read_positive(int), 10_000),
    )


_READERS: dict[str, t.Callable[[str, Section], t.Any]] = {
    "availability_zone": _read_zone,
    "rack": _read_rack,
    "instance": _read_instance,
    "upstream": _read_upstream,
    "kind": _read_kind,
    "caller": _read_caller,
}
_SORTS = ", ".join(_READERS)


def read_register(text: str) -> str:
    """Turn an asset register in CSV into declarations of instances.

    The first line names the columns; ``name`` and every key of an instance's
    section are understood, ``name`` is required.

    :raises DeclarationError: If a column is unknown or a name is missing.
    """
    allowed = {"name", "upstream", "rack", "address", "slots", "connections"}
    allowed |= {"cores", "memory_gib", "leaving"}
    rows = csv.DictReader(text.splitlines())
    unknown = set(rows.fieldnames or ()) - allowed
    if unknown or "name" not in (rows.fieldnames or ()):
        raise DeclarationError(
            f"The register has unknown columns {sorted(unknown)} or no name.",
            f"Use the columns {', '.join(sorted(allowed))}.",
        )
    parts = []
    for row in rows:
        lines = [f"{key} = {value}" for key, value in row.items() if value]
        named = [line for line in lines if not line.startswith("name = ")]
        parts.append("\n".join([f"[instance {row['name']}]", *named]))
    return "\n\n".join(parts) + "\n"


def difference(old: Inventory, new: Inventory) -> tuple[str, ...]:
    """Return what changes from ``old`` to ``new``, one line for each item."""
    lines = []
    for table in ("racks", "instances", "upstreams", "kinds", "callers"):
        before, after = getattr(old, table), getattr(new, table)
        lines.extend(_difference(table.removesuffix("s"), before, after))
    for zone in sorted(set(new.availability_zones) - set(old.availability_zones)):
        lines.append(f"+ availability_zone {zone}")
    for zone in sorted(set(old.availability_zones) - set(new.availability_zones)):
        lines.append(f"- availability_zone {zone}")
    return tuple(lines)


def _difference(
    sort: str, before: t.Mapping[str, t.Any], after: t.Mapping[str, t.Any]
) -> t.Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield f"+ {sort} {name}"
        elif name not in after:
            yield f"- {sort} {name}"
        elif before[name] != after[name]:
            yield f"~ {sort} {name}: {_changed(before[name], after[name])}"


def _changed(old: t.Any, new: t.Any) -> str:
    parts = []
    for key in fields_dict(type(old)):
        was, now = getattr(old, key), getattr(new, key)
        if was != now:
            parts.append(f"{key} {_shown(was)} -> {_shown(now)}")
    return ", ".join(parts)


def _shown(value: t.Any) -> str:
    if isinstance(value, dt.timedelta):
        return f"{value.total_seconds():g} s"
    return str(getattr(value, "value", value))
