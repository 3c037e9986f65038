"""Reads declarations of inventory and rules from INI files and validates them."""

import configparser
import csv
import datetime as dt
import pathlib
import typing as t

from attrs import evolve, fields_dict

from .caller import normalize_name
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

#: Bytes in one GiB.
GIB = 1 << 30
#: Largest value that the store accepts.
MAX_VALUE_BYTES = 1 << 20
_REMEDY = "Correct the files as described in docs/declarations.md; nothing was changed."


def load_folder(path: str) -> Inventory:
    """Read all ``*.ini`` files of a folder and validate them as one inventory.

    :raises DeclarationError: If the folder has no INI file, or with a list of all
        errors in its files.

    .. versionadded:: 0.1
    """
    folder = pathlib.Path(path)
    files = sorted(folder.glob("*.ini"))
    if not files:
        raise DeclarationError(
            f"{path} contains no *.ini file.",
            "Give the path of the folder with the declarations.",
        )
    sections: list[tuple[str, str, Section]] = []
    errors: list[str] = []
    for file in files:
        sections.extend(_read_sections(file, errors))
    return _build_inventory(sections, errors)


def parse_text(text: str, name: str = "text") -> Inventory:
    """Read and validate declarations given as one text.

    :param name: Name of the text in error messages.
    :raises DeclarationError: With a list of all errors.
    """
    errors: list[str] = []
    return _build_inventory(list(_parse_sections(text, name, errors)), errors)


def _read_sections(
    file: pathlib.Path, errors: list[str]
) -> t.Iterator[tuple[str, str, Section]]:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        errors.append(f"{file.name} can't be read: {exc}")
        return
    yield from _parse_sections(text, file.name, errors)


def _parse_sections(
    text: str, name: str, errors: list[str]
) -> t.Iterator[tuple[str, str, Section]]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=name)
    except configparser.Error as exc:
        errors.append(f"{name}: {exc}")
        return
    for title in parser.sections():
        section_type, _, label = title.partition(" ")
        location = f"{name}: [{title}]"
        yield section_type, label.strip(), Section(location, parser[title])


def _build_inventory(
    sections: list[tuple[str, str, Section]], errors: list[str]
) -> Inventory:
    declared: dict[str, dict[str, t.Any]] = {
        section_type: {} for section_type in _SECTION_READERS
    }
    for section_type, label, section in sections:
        read = _SECTION_READERS.get(section_type)
        if read is None or not label:
            errors.append(
                f"{section.location} is an unknown section: "
                f"use one of {_SECTION_TYPES}, followed by a name"
            )
            continue
        if label in declared[section_type]:
            errors.append(f"{section.location} is declared twice: remove one of them")
            continue
        value = read(label, section)
        section.report_unknown_keys()
        errors.extend(section.errors)
        if value is not None and not section.errors:
            declared[section_type][label] = value
    if not errors:
        inventory = _link_inventory(declared)
        errors.extend(find_inventory_errors(inventory))
    if errors:
        raise DeclarationError("; ".join(errors) + ".", _REMEDY)
    return inventory


def _link_inventory(declared: dict[str, dict[str, t.Any]]) -> Inventory:
    racks = declared["rack"]
    instances = {
        name: evolve(
            instance,
            availability_zone=racks[instance.rack].availability_zone
            if instance.rack in racks
            else "",
        )
        for name, instance in declared["instance"].items()
    }
    return Inventory(
        tuple(sorted(declared["availability_zone"])),
        racks,
        instances,
        declared["upstream"],
        declared["kind"],
        declared["caller"],
    )


def find_inventory_errors(inventory: Inventory) -> list[str]:
    """Return one message for each reference or rule that an inventory violates."""
    errors = []
    for rack in inventory.racks.values():
        if rack.availability_zone not in inventory.availability_zones:
            errors.append(
                f"rack {rack.name} refers to the unknown availability zone "
                f"{rack.availability_zone!r}: declare the zone or correct the name"
            )
    for instance in inventory.instances.values():
        errors.extend(_find_instance_errors(inventory, instance))
    for kind in inventory.kinds.values():
        errors.extend(_find_kind_errors(inventory, kind))
    errors.extend(_find_spelling_errors(inventory))
    return errors


def _find_instance_errors(inventory: Inventory, instance: Instance) -> t.Iterator[str]:
    if instance.rack not in inventory.racks:
        yield (
            f"instance {instance.name} refers to the unknown rack {instance.rack!r}: "
            "declare the rack or correct the name"
        )
    if instance.upstream not in inventory.upstreams:
        yield (
            f"instance {instance.name} refers to the unknown upstream "
            f"{instance.upstream!r}: declare the upstream or correct the name"
        )
    same_address = [
        other.name
        for other in inventory.instances.values()
        if other.address == instance.address and other.name < instance.name
    ]
    if same_address:
        yield (
            f"instance {instance.name} has the same address as {same_address[0]}: "
            "give each instance its own address"
        )


def _find_kind_errors(inventory: Inventory, kind: Kind) -> t.Iterator[str]:
    if kind.upstream not in inventory.upstreams:
        yield (
            f"kind {kind.name} refers to the unknown upstream {kind.upstream!r}: "
            "declare the upstream or correct the name"
        )
        return
    if kind.category is Category.CHECK and kind.non_idempotent:
        yield (
            f"kind {kind.name} is a check, so it can't be non_idempotent: "
            "remove non_idempotent or make it a plan"
        )
    if kind.category is Category.WATCH and kind.non_idempotent:
        yield (
            f"kind {kind.name} is a watch, so it can't be non_idempotent: "
            "remove non_idempotent or make it a plan"
        )
    instances = inventory.instances_of(kind.upstream)
    if instances and all(i.memory_bytes < kind.memory_bytes for i in instances):
        yield (
            f"kind {kind.name} needs more memory than any instance of its upstream "
            "has: lower its memory_gib or declare a larger instance"
        )


def _find_spelling_errors(inventory: Inventory) -> t.Iterator[str]:
    owners: dict[str, str] = {}
    for caller in inventory.callers.values():
        for spelling in (caller.name, *caller.aliases):
            owner = owners.setdefault(normalize_name(spelling), caller.name)
            if owner != caller.name:
                yield (
                    f"the spelling {spelling!r} belongs to both {owner} and "
                    f"{caller.name}: remove it from one of these callers"
                )


def _read_gib(raw: str) -> int:
    return int(read_positive(float)(raw) * GIB)


def _read_category(raw: str) -> Category:
    try:
        return Category(raw)
    except ValueError as exc:
        raise ValueError("must be check, plan or watch") from exc


def _read_policy(raw: str) -> str:
    if raw not in POLICIES:
        raise ValueError(f"must be one of {', '.join(POLICIES)}")
    return raw


def _read_url(raw: str) -> str:
    scheme, _, rest = raw.partition("://")
    if scheme not in ("http", "https") or ":" not in rest:
        raise ValueError("must have the form http://IP:port or https://IP:port")
    return raw.rstrip("/")


def _validate_label(label: str, section: Section, read: Reader = read_name) -> bool:
    try:
        read(label)
    except ValueError as exc:
        section.errors.append(f"{section.location}: {exc}")
        return False
    return True


def _read_zone(label: str, section: Section) -> str:
    _validate_label(label, section)
    return label


def _read_rack(label: str, section: Section) -> Rack:
    _validate_label(label, section)
    return Rack(label, section.take("availability_zone", read_name))


def _read_instance(label: str, section: Section) -> Instance:
    _validate_label(label, section)
    return Instance(
        name=label,
        upstream=section.take("upstream", read_name),
        rack=section.take("rack", read_name),
        availability_zone="",
        address=section.take("address", _read_url),
        slots=section.take("slots", read_positive(int), 8),
        connections=section.take("connections", read_positive(int), 64),
        cores=section.take("cores", read_positive(float), 64.0),
        memory_bytes=section.take("memory_gib", _read_gib, 250 * GIB),
        leaving=section.take("leaving", read_flag, False),
    )


def _read_upstream(label: str, section: Section) -> Upstream:
    _validate_label(label, section)
    upstream = Upstream(
        label,
        section.take("check_floor", read_share, 0.25),
        section.take("batch_floor", read_share, 0.375),
        section.take("watch_floor", read_share, 0.25),
        section.take("policy", _read_policy, "adaptive"),
    )
    if upstream.check_floor + upstream.batch_floor > 1:
        section.errors.append(
            f"{section.location} check_floor = {upstream.check_floor:g} and "
            f"batch_floor = {upstream.batch_floor:g} add up to more than 1: "
            "lower one of them"
        )
    return upstream


def _read_kind(label: str, section: Section) -> Kind | None:
    upstream, _, name = label.partition("/")
    if not name:
        section.errors.append(
            f"{section.location}: must have the form [kind UPSTREAM/NAME]"
        )
        return None
    _validate_label(upstream, section)
    _validate_label(name, section)
    category = section.take("category", _read_category)
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
        memory_bytes=section.take("memory_gib", _read_gib, GIB),
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


_SECTION_READERS: dict[str, t.Callable[[str, Section], t.Any]] = {
    "availability_zone": _read_zone,
    "rack": _read_rack,
    "instance": _read_instance,
    "upstream": _read_upstream,
    "kind": _read_kind,
    "caller": _read_caller,
}
_SECTION_TYPES = ", ".join(_SECTION_READERS)


def read_register(text: str) -> str:
    """Convert an asset register in CSV to declarations of instances in INI format.

    The first line contains the column names: ``name``, which is required, and any
    key of an instance's section. Empty cells are left out. Values are not
    validated.

    :raises DeclarationError: If a column is unknown or there is no ``name`` column.
    """
    allowed = {"name", "upstream", "rack", "address", "slots", "connections"}
    allowed |= {"cores", "memory_gib", "leaving"}
    rows = csv.DictReader(text.splitlines())
    unknown = set(rows.fieldnames or ()) - allowed
    if unknown or "name" not in (rows.fieldnames or ()):
        raise DeclarationError(
            f"The register has unknown columns {sorted(unknown)} or no name column.",
            f"Use the column name and any of {', '.join(sorted(allowed))}.",
        )
    parts = []
    for row in rows:
        lines = [f"{key} = {value}" for key, value in row.items() if value]
        named = [line for line in lines if not line.startswith("name = ")]
        parts.append("\n".join([f"[instance {row['name']}]", *named]))
    return "\n\n".join(parts) + "\n"


def diff_inventories(old: Inventory, new: Inventory) -> tuple[str, ...]:
    """Return the changes from ``old`` to ``new``, one line for each declared item.

    Lines start with ``+`` for added, ``-`` for removed and ``~`` for changed items.
    """
    lines = []
    for table in ("racks", "instances", "upstreams", "kinds", "callers"):
        before, after = getattr(old, table), getattr(new, table)
        lines.extend(_diff_table(table.removesuffix("s"), before, after))
    for zone in sorted(set(new.availability_zones) - set(old.availability_zones)):
        lines.append(f"+ availability_zone {zone}")
    for zone in sorted(set(old.availability_zones) - set(new.availability_zones)):
        lines.append(f"- availability_zone {zone}")
    return tuple(lines)


def _diff_table(
    section_type: str, before: t.Mapping[str, t.Any], after: t.Mapping[str, t.Any]
) -> t.Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield f"+ {section_type} {name}"
        elif name not in after:
            yield f"- {section_type} {name}"
        elif before[name] != after[name]:
            yield (
                f"~ {section_type} {name}: "
                f"{_describe_changes(before[name], after[name])}"
            )


def _describe_changes(old: t.Any, new: t.Any) -> str:
    parts = []
    for key in fields_dict(type(old)):
        was, now = getattr(old, key), getattr(new, key)
        if was != now:
            parts.append(f"{key} {_format_value(was)} -> {_format_value(now)}")
    return ", ".join(parts)


def _format_value(value: t.Any) -> str:
    if isinstance(value, dt.timedelta):
        return f"{value.total_seconds():g} s"
    return str(getattr(value, "value", value))
