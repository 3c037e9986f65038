"""Encoding of typed messages: JSON for HTTP and the store, msgpack for peers."""

import datetime as dt
import enum
import json
import typing as t

import cattrs
import msgpack
from cattrs.preconf.json import make_converter as make_json_converter

from .exceptions import RequestError

T = t.TypeVar("T")


def _make_converter() -> cattrs.Converter:
    converter = make_json_converter(omit_if_default=True)
    converter.register_unstructure_hook(dt.timedelta, lambda d: d.total_seconds())
    converter.register_structure_hook(
        dt.timedelta, lambda seconds, _: dt.timedelta(seconds=seconds)
    )
    converter.register_unstructure_hook(dt.datetime, lambda d: d.timestamp())
    converter.register_structure_hook(
        dt.datetime,
        lambda timestamp_s, _: dt.datetime.fromtimestamp(timestamp_s, dt.UTC),
    )
    converter.register_unstructure_hook(enum.Enum, lambda member: member.value)
    return converter


def _make_wire_converter() -> cattrs.Converter:
    """Return a converter that leaves bytes as they are; JSON needs them as text."""
    converter = _make_converter()
    converter.register_unstructure_hook(bytes, lambda data: data)
    converter.register_structure_hook(bytes, _expect_bytes)
    return converter


def _expect_bytes(data: t.Any, _: type) -> bytes:
    if not isinstance(data, bytes):
        raise TypeError(f"expected bytes, got {type(data).__name__}")
    return data


_CONVERTER = _make_converter()
_WIRE_CONVERTER = _make_wire_converter()


def to_json(value: t.Any) -> str:
    """Encode an attrs object as compact JSON, without fields at their defaults."""
    return json.dumps(_CONVERTER.unstructure(value), separators=(",", ":"))


def from_json(text: str | bytes, cls: type[T]) -> T:
    """Decode JSON into ``cls``.

    :raises RequestError: If ``text`` isn't JSON or does not match ``cls``.
    """
    try:
        return _CONVERTER.loads(text, cls)
    except Exception as exc:
        raise RequestError(
            f"The text is not a valid {cls.__name__}: {_describe_error(exc)}.",
            "Compare the fields with the reference in docs/.",
        ) from exc


def to_wire(value: t.Any) -> bytes:
    """Encode a message for a peer as msgpack, tagged with its class name."""
    body = _WIRE_CONVERTER.unstructure(value)
    return msgpack.packb((type(value).__name__, body))


def from_wire(frame: bytes, registry: t.Mapping[str, type]) -> t.Any:
    """Decode a peer's message into one of the classes of ``registry``.

    :param registry: Classes by the name with which messages are tagged.
    :raises RequestError: If the class is unknown or the fields don't match it.
    """
    try:
        name, body = msgpack.unpackb(frame)
        return _WIRE_CONVERTER.structure(body, registry[name])
    except Exception as exc:
        raise RequestError(
            f"A message from a peer can't be decoded: {_describe_error(exc)}.",
            "Run the same version of fighead on all entries.",
        ) from exc


def _describe_error(exc: BaseException) -> str:
    messages = cattrs.transform_error(exc) if isinstance(exc, Exception) else []
    return "; ".join(messages) or str(exc)
