"""Reading of the TOML settings file that the platform puts on each machine."""

import datetime as dt
import math
import tomllib
import typing as t

from ..exceptions import SettingsError
from ..job_settings import JobSettings
from ..model import Capacity
from ..settings import ListenAddress, read_address

#: Environment variable that holds the path of the settings file.
SETTINGS_PATH_VARIABLE = "FIGHEAD_BOOT"

#: Port that serves metrics; must match ``metrics`` in deploy/system.toml.
METRICS_PORT = 9464
MEBIBYTE = 1 << 20

Json = dict[str, t.Any]


def load_platform_settings(path: str) -> JobSettings:
    """Read and validate the settings file of this entry.

    :raises SettingsError: If the file can't be read, or with a list of all its
        errors.
    """
    try:
        with open(path, "rb") as file:
            return parse_settings(tomllib.load(file), path)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(
            f"{path} can't be read: {exc}.", "Give the path of a valid TOML file."
        ) from exc


def parse_settings(body: Json, path: str) -> JobSettings:
    """Validate the fields that fighead uses and ignore all others.

    :param path: Path of the file, for error messages.
    :raises SettingsError: With a list of all errors.
    """
    errors: list[str] = []
    bounds = _take_table(body, "Bounds", errors)
    listen = _take_table(body, "Listen", errors)
    store = _take_table(body, "platform", errors)
    fields = {
        "name": _take(body, "Node", str, errors),
        "zone": _take(body, "Zone", str, errors),
        "client_address": _take_address(listen, "Front", errors),
        "ready_address": _take_address(listen, "Ready", errors),
        "peer_address": _take_peer_address(body, errors),
        "metrics_address": _make_metrics_address(body),
        "capacity": _read_capacity(body),
        "memory_bytes": _read_limit(body, "MemoryMb", MEBIBYTE),
        "max_descriptors": _read_limit(body, "MaxFds"),
        "zones": _read_zones(body),
        "store_address": _take(store, "Address", str, errors),
        # Address of the service that advises which instances may run a stage.
        "advice_address": body.get("Advice", ""),
        "lease": _take_milliseconds(bounds, "MaxHoldMs", errors),
        "grace": _take_seconds(bounds, "GraceS", errors),
        "stop_time": _take_milliseconds(bounds, "StopMs", errors),
        "harm_time": _take_milliseconds(bounds, "ImpactMs", errors),
        "early": _take_milliseconds(bounds, "early_ms", errors),
        "status_time": _take_seconds(bounds, "status_s", errors),
    }
    if errors:
        raise SettingsError(
            f"{path}: " + "; ".join(errors) + ".",
            "Correct the settings file, then restart the entry or reload it.",
        )
    return JobSettings(**fields)


def _take_table(body: Json, name: str, errors: list[str]) -> Json:
    return _take(body, name, dict, errors) or {}


def _take(body: Json, name: str, expected_type: t.Any, errors: list[str]) -> t.Any:
    value = body.get(name)
    if isinstance(value, expected_type) and not isinstance(value, bool):
        return value
    error = "is missing" if value is None else f"= {value!r} has the wrong type"
    errors.append(f"{name} {error}")
    return None


def _take_address(body: Json, name: str, errors: list[str]) -> ListenAddress | None:
    raw = _take(body, name, str, errors)
    if raw is None:
        return None
    try:
        return read_address(raw)
    except ValueError as exc:
        errors.append(f"{name} = {raw!r}: {exc}")
        return None


def _take_peer_address(body: Json, errors: list[str]) -> str:
    ip = _take(body, "Ip", str, errors)
    # First and last port reserved for links between entries; only the first
    # is used.
    ports = _take(body, "PortRange", list, errors)
    if not ip or not ports:
        return ""
    return f"tcp://{ip}:{ports[0]}"


def _make_metrics_address(body: Json) -> ListenAddress | None:
    ip = body.get("Ip")
    return ListenAddress(ip, METRICS_PORT) if isinstance(ip, str) else None


def _read_capacity(body: Json) -> Capacity:
    """Return the machine's capacity; missing or invalid limits are unknown."""
    limits = body.get("Limits")
    if not isinstance(limits, dict):
        return Capacity()
    share, speed, link_mbit_s = (
        _read_positive(limits.get(name)) for name in ("CpuShare", "Cores", "LinkMbps")
    )
    # CpuShare is a share of one core, which is Cores times as fast as a reference core.
    cores = share * speed if share and speed else None
    return Capacity(cores, link_mbit_s)


def _read_limit(body: Json, name: str, unit: int = 1) -> int | None:
    """Return a limit of the process; ``None`` if it is missing or invalid."""
    limits = body.get("Limits")
    value = _read_positive(limits.get(name)) if isinstance(limits, dict) else None
    return int(value * unit) if value is not None else None


def _read_zones(body: Json) -> frozenset[str]:
    """Return the zones of the deployment; empty if they are not told."""
    zones = body.get("Zones")
    return frozenset(zones) if isinstance(zones, dict) else frozenset()


def _read_positive(value: t.Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 < value < math.inf else None


def _take_milliseconds(body: Json, name: str, errors: list[str]) -> dt.timedelta:
    value = _take(body, name, (int, float), errors)
    return dt.timedelta(milliseconds=value or 0)


def _take_seconds(body: Json, name: str, errors: list[str]) -> dt.timedelta:
    value = _take(body, name, (int, float), errors)
    return dt.timedelta(seconds=value or 0)
