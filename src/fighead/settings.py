"""Settings of a process, read from an INI file and checked as a whole."""

import configparser
import datetime as dt
import os
import re
import typing as t

from attrs import field, frozen

from .exceptions import SettingsError
from .ini import (
    Reader,
    Section,
    read_between,
    read_flag,
    read_ini,
    read_matching,
    read_name,
)

PEER_PATTERN = re.compile(r"^tcp://[0-9.]+:\d+$")
URL_PATTERN = re.compile(r"^https?://[0-9.\[\]:a-f]+:\d+$")
Z85_PATTERN = re.compile(r"^[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}$")
SECTIONS = (
    "entry",
    "caller_front",
    "operator_front",
    "peer_link",
    "store",
    "security",
)
DEFAULT_LEASE_TTL = dt.timedelta(seconds=6)
DEFAULT_DRAIN_TIMEOUT = dt.timedelta(seconds=60)
DEFAULT_MAX_BODY_BYTES = 256 * 1024


@frozen
class ListenAddress:
    """An IP number and a port to listen on."""

    host: str
    port: int

    @property
    def is_loopback(self) -> bool:
        """Whether only this machine can reach the address."""
        return self.host.startswith("127.") or self.host == "::1"


@frozen
class EntrySettings:
    """All settings of one entry.

    :param lease_ttl: Life of the entry's lease in the store without renewal.
    :param drain_timeout: Longest time that a planned stop may take.
    :param operator_token: Secret that operator calls must carry.
    :param plain: Whether fronts and links may go without encryption, which is
        allowed on loopback only.

    .. versionadded:: 0.1
    """

    name: str
    availability_zone: str
    caller_address: ListenAddress
    operator_address: ListenAddress
    peer_address: str
    store_url: str
    operator_token: str = field(repr=False)
    lease_ttl: dt.timedelta = DEFAULT_LEASE_TTL
    drain_timeout: dt.timedelta = DEFAULT_DRAIN_TIMEOUT
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    plain: bool = False
    tls_certificate: str = ""
    tls_key: str = ""
    peer_public_key: str = ""
    peer_secret_key: str = field(default="", repr=False)
    seed: int = 0


def load_settings(path: str) -> EntrySettings:
    """Read and check the settings of an entry.

    :raises SettingsError: Naming every fault in the file at once.

    .. versionadded:: 0.1
    """
    return parse_settings(read_ini(path), path)


def parse_settings(parser: configparser.ConfigParser, path: str) -> EntrySettings:
    """Check parsed settings.

    :raises SettingsError: Naming every fault at once.
    """
    sections = {name: Section(f"[{name}]", _values(parser, name)) for name in SECTIONS}
    fields = _read_fields(sections)
    faults = [
        f"[{n}] is unknown: remove it" for n in parser.sections() if n not in SECTIONS
    ]
    for section in sections.values():
        section.finish()
        faults.extend(section.faults)
    _check_security(fields, faults)
    if faults:
        raise SettingsError(
            f"{path}: " + "; ".join(faults) + ".",
            "Correct the file by docs/settings.md and start again.",
        )
    return EntrySettings(**fields)


def _values(parser: configparser.ConfigParser, name: str) -> t.Mapping[str, str]:
    return parser[name] if parser.has_section(name) else {}


def _read_fields(sections: t.Mapping[str, Section]) -> dict[str, t.Any]:
    entry, peer = sections["entry"], sections["peer_link"]
    caller, operator = sections["caller_front"], sections["operator_front"]
    store, security = sections["store"], sections["security"]
    z85 = read_matching(Z85_PATTERN)
    return {
        "name": entry.take("name", read_name),
        "availability_zone": entry.take("availability_zone", read_name),
        "lease_ttl": entry.take("lease_ttl_s", _seconds(2, 60), DEFAULT_LEASE_TTL),
        "drain_timeout": entry.take(
            "drain_timeout_s", _seconds(1, 3600), DEFAULT_DRAIN_TIMEOUT
        ),
        "seed": entry.take("seed", int, 0),
        "caller_address": caller.take("listen", read_address),
        "max_body_bytes": caller.take(
            "max_body_bytes", read_between(int, 1, 1 << 20), DEFAULT_MAX_BODY_BYTES
        ),
        "operator_address": operator.take("listen", read_address),
        "operator_token": operator.take("token", _read_secret),
        "peer_address": peer.take("listen", read_matching(PEER_PATTERN)),
        "peer_public_key": peer.take("public_key", z85, ""),
        "peer_secret_key": peer.take("secret_key", _read_secret_key, ""),
        "store_url": store.take("url", read_matching(URL_PATTERN)),
        "plain": security.take("plain", read_flag, False),
        "tls_certificate": security.take("tls_certificate", str, ""),
        "tls_key": security.take("tls_key", str, ""),
    }


def _check_security(fields: dict[str, t.Any], faults: list[str]) -> None:
    if fields["plain"]:
        fronts = (fields["caller_address"], fields["operator_address"])
        if any(front is not None and not front.is_loopback for front in fronts):
            faults.append("[security] plain is for loopback only: set up TLS and keys")
        return
    if not (fields["tls_certificate"] and fields["tls_key"]):
        faults.append(
            "[security] tls_certificate and tls_key are missing: add them, "
            "or set plain = yes on loopback"
        )
    if not (fields["peer_public_key"] and fields["peer_secret_key"]):
        faults.append(
            "[peer_link] public_key and secret_key are missing: make them with "
            "'fighead keys', or set plain = yes on loopback"
        )


def read_address(raw: str) -> ListenAddress:
    """Return an address written as ``IP:port``."""
    host, _, port = raw.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("write it as IP:port, for example 127.0.0.1:7100")
    return ListenAddress(host.strip("[]"), int(port))


def _seconds(least: float, most: float) -> Reader:
    read_number = read_between(float, least, most)
    return lambda raw: dt.timedelta(seconds=read_number(raw))


def _read_secret(raw: str) -> str:
    # A value may name an environment variable, so that files hold no secrets.
    if raw.startswith("$"):
        raw = os.environ.get(raw[1:], "")
    if len(raw) < 16:
        raise ValueError("give at least 16 characters or $NAME of a variable")
    return raw


def _read_secret_key(raw: str) -> str:
    secret = _read_secret(raw)
    if not Z85_PATTERN.match(secret):
        raise ValueError("give a key of 40 characters in Z85")
    return secret
