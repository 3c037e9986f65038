"""fighead schedules latency-critical and batch work on shared instances.

To run an entry, give it settings, and the clock and the reactor of
:mod:`fighead.runtime`, which count steady time:

    cfg = load_settings("entry.ini")
    Entry(cfg, make_clock(), reactor, on_end=reactor.stop).start()

Public names are imported lazily, so that a daemon loads only the modules that it
needs.
"""

import importlib
import typing as t

#: Modules by the public names that they define.
_PUBLIC = {
    "Clock": "clock",
    "ReactorClock": "clock",
    "Change": "commands.apply",
    "apply_change": "commands.apply",
    "run_check": "commands.check",
    "cancel_work": "commands.work",
    "submit_work": "commands.work",
    "load_folder": "declaration",
    "Entry": "entry",
    "ConflictError": "exceptions",
    "DeclarationError": "exceptions",
    "FigheadError": "exceptions",
    "NotRunError": "exceptions",
    "RequestError": "exceptions",
    "SettingsError": "exceptions",
    "StoreError": "exceptions",
    "JobEntry": "job_entry",
    "JobSettings": "job_settings",
    "Inventory": "model",
    "read_status": "queries.status",
    "find_work": "queries.work",
    "EntrySettings": "settings",
    "load_settings": "settings",
}

__all__ = sorted(_PUBLIC)  # noqa: PLE0605


def __getattr__(name: str) -> t.Any:
    if name not in _PUBLIC:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{_PUBLIC[name]}", __name__), name)
