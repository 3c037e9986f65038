"""Reading of INI sections with every fault collected before any complaint."""

import configparser
import datetime as dt
import re
import typing as t

from .exceptions import SettingsError

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")
#: Keys whose values are never shown.
SECRET_KEYS = frozenset({"token", "secret_key"})

Reader = t.Callable[[str], t.Any]


def read_ini(path: str) -> configparser.ConfigParser:
    """Read an INI file.

    :raises SettingsError: If it can't be read or is no INI file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as exc:
        raise SettingsError(
            f"{path} can't be read: {exc}.", "Give the path of a valid INI file."
        ) from exc
    return parser


class Section:
    """Reads the values of one section and collects its faults.

    >>> section = Section("[rack r1]", {"availability_zone": "smolyan"})
    >>> section.take("availability_zone", read_name)
    'smolyan'

    :param where: File and title, for the messages.
    """

    def __init__(self, where: str, values: t.Mapping[str, str]) -> None:
        self.where = where
        self._values = dict(values)
        self.faults: list[str] = []

    def take(self, key: str, read: Reader, default: t.Any = None) -> t.Any:
        """Return the value of ``key``; without a default it is required."""
        raw = self._values.pop(key, None)
        if raw is None:
            if default is None:
                self.faults.append(f"{self.where} {key} is missing: add it")
            return default
        try:
            return read(raw.strip())
        except ValueError as exc:
            shown = "" if key in SECRET_KEYS else f" = {raw!r}"
            self.faults.append(f"{self.where} {key}{shown}: {exc}")
            return default

    def finish(self) -> None:
        """Note a fault for every key that was not asked for."""
        for key in self._values:
            self.faults.append(f"{self.where} {key} is unknown: remove it")


def read_name(raw: str) -> str:
    """Return a name in lower case letters, digits, dots and dashes."""
    if not NAME_PATTERN.match(raw):
        raise ValueError("use lower case letters, digits, '.', '_' and '-'")
    return raw


def read_flag(raw: str) -> bool:
    """Return whether the text is ``yes``; anything but yes or no is refused."""
    if raw.lower() not in ("yes", "no"):
        raise ValueError("write yes or no")
    return raw.lower() == "yes"


def read_positive(convert: Reader) -> Reader:
    """Return a reader of numbers above zero."""

    def read(raw: str) -> t.Any:
        number = convert(raw)
        if not number > 0:
            raise ValueError("give a number above 0")
        return number

    return read


def read_between(convert: Reader, least: float, most: float) -> Reader:
    """Return a reader of numbers from ``least`` to ``most``."""

    def read(raw: str) -> t.Any:
        number = convert(raw)
        if not least <= number <= most:
            raise ValueError(f"give a number between {least:g} and {most:g}")
        return number

    return read


def read_share(raw: str) -> float:
    """Return a share from 0 up to but not including 1."""
    share = float(raw)
    if not 0 <= share < 1:
        raise ValueError("give a share from 0 up to but not including 1")
    return share


def read_seconds(raw: str) -> dt.timedelta:
    """Return a duration above zero, written in seconds."""
    return dt.timedelta(seconds=read_positive(float)(raw))


def read_milliseconds(raw: str) -> dt.timedelta:
    """Return a duration above zero, written in milliseconds."""
    return dt.timedelta(milliseconds=read_positive(float)(raw))


def read_matching(pattern: re.Pattern[str]) -> Reader:
    """Return a reader of texts that match ``pattern``."""

    def read(raw: str) -> str:
        if not pattern.match(raw):
            raise ValueError(f"it does not match {pattern.pattern}")
        return raw

    return read


def read_list(raw: str) -> tuple[str, ...]:
    """Return the parts of a text that are separated by semicolons."""
    return tuple(part.strip() for part in raw.split(";") if part.strip())
