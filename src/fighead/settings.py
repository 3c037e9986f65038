"""Settings of an entry, read from an INI file; all errors are reported together."""

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

#: Address with a port: an IP address, which may have brackets, or a host name.
ADDRESS_PATTERN = re.compile(
    r"(\[[0-9A-Za-z.:%]{1,253}\]|[\w.:%-]{1,253}):(\d{1,5})", re.ASCII
)
#: Address of a peer link: ``tcp://IP:port``, IPv4 only.
PEER_PATTERN = re.compile(r"^tcp://[0-9.]+:\d+$")
#: Base URL with an IPv4 or IPv6 address and a port.
URL_PATTERN = re.compile(r"^https?://[0-9.\[\]:a-f]+:\d+$")
#: CURVE key in the Z85 encoding: 32 bytes as 40 characters.
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
    """IP address, without brackets, and TCP port to listen on."""

    host: str
    port: int

    @property
    def is_loopback(self) -> bool:
        """Whether the address can be reached from this machine only."""
        return self.host.startswith("127.") or self.host == "::1"


@frozen
class EntrySettings:
    """All settings of one entry.

    :param peer_address: ``tcp://IP:port`` at which other entries connect.
    :param operator_token: Secret that operator calls must carry.
    :param lease_ttl: Time after which the entry's lease in the store expires
        unless it is renewed.
    :param drain_timeout: Longest time that a planned stop may take.
    :param max_body_bytes: Largest request body that the caller front accepts.
    :param plain: Whether fronts and peer links are unencrypted; allowed on
        loopback only.
    :param tls_certificate: Path of the fronts' certificate file.
    :param tls_key: Path of the certificate's private key file.
    :param peer_public_key: CURVE key of the peer link, in Z85.
    :param peer_secret_key: CURVE key of the peer link, in Z85.
    :param seed: Seed of the entry's random numbers; 0 for an unpredictable one.

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
    """Read and validate the settings file of an entry.

    :raises SettingsError: If the file can't be read, or with a list of all its
        errors.

    .. versionadded:: 0.1
    """
    return parse_settings(read_ini(path), path)


def parse_settings(parser: configparser.ConfigParser, path: str) -> EntrySettings:
    """Validate parsed settings.

    :param path: Path of the file, for error messages.
    :raises SettingsError: With a list of all errors.
    """
    sections = {
        name: Section(f"[{name}]", _section_values(parser, name)) for name in SECTIONS
    }
    fields = _read_fields(sections)
    errors = [
        f"[{title}] is an unknown section: remove or rename it"
        for title in parser.sections()
        if title not in SECTIONS
    ]
    for section in sections.values():
        section.report_unknown_keys()
        errors.extend(section.errors)
    _check_security(fields, errors)
    if errors:
        raise SettingsError(
            f"{path}: " + "; ".join(errors) + ".",
            "Correct the file as described in docs/settings.md, then try again.",
        )
    return EntrySettings(**fields)


def _section_values(
    parser: configparser.ConfigParser, name: str
) -> t.Mapping[str, str]:
    return parser[name] if parser.has_section(name) else {}


def _read_fields(sections: t.Mapping[str, Section]) -> dict[str, t.Any]:
    entry, peer = sections["entry"], sections["peer_link"]
    caller, operator = sections["caller_front"], sections["operator_front"]
    store, security = sections["store"], sections["security"]
    z85 = read_matching(Z85_PATTERN)
    return {
        "name": entry.take("name", read_name),
        "availability_zone": entry.take("availability_zone", read_name),
        "lease_ttl": entry.take(
            "lease_ttl_s", _read_seconds_between(2, 60), DEFAULT_LEASE_TTL
        ),
        "drain_timeout": entry.take(
            "drain_timeout_s", _read_seconds_between(1, 3600), DEFAULT_DRAIN_TIMEOUT
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


def _check_security(fields: dict[str, t.Any], errors: list[str]) -> None:
    if fields["plain"]:
        fronts = (fields["caller_address"], fields["operator_address"])
        if any(front is not None and not front.is_loopback for front in fronts):
            errors.append(
                "[security] plain = yes is allowed on loopback only: listen on "
                "127.0.0.1, or set up TLS and peer keys"
            )
        return
    if not (fields["tls_certificate"] and fields["tls_key"]):
        errors.append(
            "[security] tls_certificate and tls_key are both required: add "
            "them, or set plain = yes on loopback"
        )
    if not (fields["peer_public_key"] and fields["peer_secret_key"]):
        errors.append(
            "[peer_link] public_key and secret_key are both required: generate "
            "them with 'fighead keys', or set plain = yes on loopback"
        )


def read_address(raw: str) -> ListenAddress:
    """Return an address written as ``IP:port``; an IPv6 address may have brackets.

    :raises ValueError: If there is no host, or no port from 1 to 65535.
    """
    found = ADDRESS_PATTERN.fullmatch(raw)
    if found is None or not 0 < int(found[2]) < 65536:
        raise ValueError("must have the form IP:port, for example 127.0.0.1:7100")
    return ListenAddress(found[1].strip("[]"), int(found[2]))


def _read_seconds_between(minimum: float, maximum: float) -> Reader:
    read_number = read_between(float, minimum, maximum)
    return lambda raw: dt.timedelta(seconds=read_number(raw))


def _read_secret(raw: str) -> str:
    # $NAME reads an environment variable, so that files need not contain secrets.
    if raw.startswith("$"):
        raw = os.environ.get(raw[1:], "")
    if len(raw) < 16:
        raise ValueError(
            "must have at least 16 characters, or be $NAME of an environment variable "
            "with such a value"
        )
    return raw


def _read_secret_key(raw: str) -> str:
    secret = _read_secret(raw)
    if not Z85_PATTERN.match(secret):
        raise ValueError(
            "must be a key of 40 characters in Z85, as made by 'fighead keys'"
        )
    return secret
