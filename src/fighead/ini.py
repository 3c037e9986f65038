"""Reads sections of INI files and collects all errors before reporting them."""

import configparser
import datetime as dt
import re
import typing as t

from .exceptions import SettingsError

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")
#: Keys whose values are left out of error messages.
SECRET_KEYS = frozenset({"token", "secret_key"})

#: Converts the text of a value; raises :exc:`ValueError` if it is invalid.
Reader = t.Callable[[str], t.Any]


def read_ini(path: str) -> configparser.ConfigParser:
    """Parse an INI file; ``%`` in values has no special meaning.

    :raises SettingsError: If the file can't be read or is not valid INI.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as exc:
        raise SettingsError(
            f"{path} can't be read: {exc}.",
            "Give the path of a valid, readable INI file in UTF-8.",
        ) from exc
    return parser


class Section:
    """Converts the values of one section and collects the errors in them.

    >>> section = Section("[rack r1]", {"availability_zone": "smolyan"})
    >>> section.take("availability_zone", read_name)
    'smolyan'

    :param location: Start of each error message: the title, and the file if needed.
    """

    def __init__(self, location: str, values: t.Mapping[str, str]) -> None:
        self.location = location
        self._values = dict(values)
        self.errors: list[str] = []

    def take(self, key: str, read: Reader, default: t.Any = None) -> t.Any:
        """Return the converted value of ``key``.

        If the key is missing or its value is invalid, the default is returned; an
        invalid value, or a missing one without a default, is added to ``errors``.

        :param read: Converts the text, stripped of white space.
        """
        raw = self._values.pop(key, None)
        if raw is None:
            if default is None:
                self.errors.append(f"{self.location} {key} is missing: add this key")
            return default
        try:
            return read(raw.strip())
        except ValueError as exc:
            shown = "" if key in SECRET_KEYS else f" = {raw!r}"
            self.errors.append(f"{self.location} {key}{shown}: {exc}")
            return default

    def report_unknown_keys(self) -> None:
        """Add an error to ``errors`` for each key that was not taken."""
        for key in self._values:
            self.errors.append(
                f"{self.location} {key} is an unknown key: remove or rename it"
            )


def read_name(raw: str) -> str:
    """Return the text if it is a valid name, see :data:`NAME_PATTERN`."""
    if not NAME_PATTERN.match(raw):
        raise ValueError(
            "must be 1 to 63 characters of a-z, 0-9, '.', '_' and '-', "
            "starting with a letter or digit"
        )
    return raw


def read_flag(raw: str) -> bool:
    """Return ``True`` for yes and ``False`` for no, in upper or lower case."""
    if raw.lower() not in ("yes", "no"):
        raise ValueError("must be yes or no")
    return raw.lower() == "yes"


def read_positive(convert: Reader) -> Reader:
    """Return a reader of numbers greater than zero, converted by ``convert``."""

    def read(raw: str) -> t.Any:
        number = convert(raw)
        if not number > 0:
            raise ValueError("must be a number greater than 0")
        return number

    return read


def read_between(convert: Reader, minimum: float, maximum: float) -> Reader:
    """Return a reader of numbers from ``minimum`` to ``maximum``, both included."""

    def read(raw: str) -> t.Any:
        number = convert(raw)
        if not minimum <= number <= maximum:
            raise ValueError(f"must be a number from {minimum:g} to {maximum:g}")
        return number

    return read


def read_share(raw: str) -> float:
    """Return a fraction of at least 0 and below 1."""
    share = float(raw)
    if not 0 <= share < 1:
        raise ValueError("must be at least 0 and below 1")
    return share


def read_seconds(raw: str) -> dt.timedelta:
    """Return a positive duration given in seconds."""
    return dt.timedelta(seconds=read_positive(float)(raw))


def read_milliseconds(raw: str) -> dt.timedelta:
    """Return a positive duration given in milliseconds."""
    return dt.timedelta(milliseconds=read_positive(float)(raw))


def read_matching(pattern: re.Pattern[str]) -> Reader:
    """Return a reader that rejects texts which ``pattern`` does not match."""

    def read(raw: str) -> str:
        if not pattern.match(raw):
            raise ValueError(f"must match the pattern {pattern.pattern}")
        return raw

    return read


def read_list(raw: str) -> tuple[str, ...]:
    """Return the non-empty items of a semicolon-separated list, stripped."""
    return tuple(part.strip() for part in raw.split(";") if part.strip())
