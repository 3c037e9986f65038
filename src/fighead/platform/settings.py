"""The settings file that the platform places on each machine."""

import datetime as dt
import tomllib
import typing as t

from ..exceptions import SettingsError
from ..job_settings import JobSettings
from ..settings import ListenAddress, read_address

#: Variable that holds the path of the settings file.
PATH_VARIABLE = "FIGHEAD_BOOT"

#: Port on which metrics are served, as deploy/system.toml names it.
METRICS_PORT = 9464

Json = dict[str, t.Any]


def load_settings(path: str) -> JobSettings:
    """Read the platform's settings of this process.

    :raises SettingsError: Naming every fault at once.
    """
    try:
        with open(path, "rb") as file:
            return parse_settings(tomllib.load(file), path)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(
            f"{path} can't be read: {exc}.", "Give the path of a valid TOML file."
        ) from exc


def parse_settings(body: Json, path: str) -> JobSettings:
    """Check the fields that fighead uses; others are ignored.

    :raises SettingsError: Naming every fault at once.
    """
    faults: list[str] = []
    bounds = _table(body, "Bounds", faults)
    listen = _table(body, "Listen", faults)
    store = _table(body, "platform", faults)
    fields = {
        "name": _take(body, "Node", str, faults),
        "zone": _take(body, "Zone", str, faults),
        "client_address": _address(listen, "Front", faults),
        "ready_address": _address(listen, "Ready", faults),
        "peer_address": _peer_address(body, faults),
        "metrics_address": _metrics_address(body),
        "store_address": _take(store, "Address", str, faults),
        # Address of the service that says which instances may run a stage.
        "advice_address": body.get("Advice", ""),
        "lease": _milliseconds(bounds, "MaxHoldMs", faults),
        "grace": _seconds(bounds, "GraceS", faults),
        "stop_time": _milliseconds(bounds, "StopMs", faults),
        "harm_time": _milliseconds(bounds, "ImpactMs", faults),
        "early": _milliseconds(bounds, "early_ms", faults),
        "status_time": _seconds(bounds, "status_s", faults),
    }
    if faults:
        raise SettingsError(
            f"{path}: " + "; ".join(faults) + ".",
            "Correct the platform's settings file and start again.",
        )
    return JobSettings(**fields)


def _table(body: Json, name: str, faults: list[str]) -> Json:
    return _take(body, name, dict, faults) or {}


def _take(body: Json, name: str, kind: t.Any, faults: list[str]) -> t.Any:
    value = body.get(name)
    if isinstance(value, kind) and not isinstance(value, bool):
        return value
    fault = "is missing" if value is None else f"= {value!r} has the wrong type"
    faults.append(f"{name} {fault}")
    return None


def _address(body: Json, name: str, faults: list[str]) -> ListenAddress | None:
    raw = _take(body, name, str, faults)
    if raw is None:
        return None
    try:
        return read_address(raw)
    except ValueError as exc:
        faults.append(f"{name} = {raw!r}: {exc}")
        return None


def _peer_address(body: Json, faults: list[str]) -> str:
    ip = _take(body, "Ip", str, faults)
    # First and last port that are free for links between entries.
    ports = _take(body, "PortRange", list, faults)
    if not ip or not ports:
        return ""
    return f"tcp://{ip}:{ports[0]}"


def _metrics_address(body: Json) -> ListenAddress | None:
    ip = body.get("Ip")
    return ListenAddress(ip, METRICS_PORT) if isinstance(ip, str) else None


def _milliseconds(body: Json, name: str, faults: list[str]) -> dt.timedelta:
    value = _take(body, name, (int, float), faults)
    return dt.timedelta(milliseconds=value or 0)


def _seconds(body: Json, name: str, faults: list[str]) -> dt.timedelta:
    value = _take(body, name, (int, float), faults)
    return dt.timedelta(seconds=value or 0)
