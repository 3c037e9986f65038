"""Encoding and decoding of the messages of etcd's v3 JSON gateway.

Keys and values are encoded as base64, and 64-bit integers as decimal strings.
Fields with default values may be absent.
"""

import base64
import typing as t

from .store import (
    Compare,
    Delete,
    KeyValue,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseResult,
    LeaseRevoke,
    Put,
    Range,
    RangeResult,
    StoreRequest,
    StoreResult,
    Txn,
    TxnResult,
    WatchBatch,
    WatchEvent,
)

Json = dict[str, t.Any]

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEPALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"


def encode_text(text: str) -> str:
    """Return ``text`` as UTF-8 in base64, as the gateway encodes bytes fields."""
    return base64.b64encode(text.encode()).decode()


def decode_text(field: str | None) -> str:
    """Return the text of a bytes field, or an empty string if it is absent."""
    return base64.b64decode(field or "").decode()


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the range of keys that begin with ``prefix``.

    >>> prefix_end("/a/")
    '/a0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def encode_request(req: StoreRequest) -> tuple[str, Json]:
    """Return the path and the JSON body of a request."""
    match req:
        case Range():
            return RANGE_PATH, _encode_range(req)
        case Txn():
            return TXN_PATH, _encode_txn(req)
        case LeaseGrant(ttl_s):
            return GRANT_PATH, {"TTL": str(ttl_s)}
        case LeaseKeepAlive(lease):
            return KEEPALIVE_PATH, {"ID": str(lease)}
        case LeaseRevoke(lease):
            return REVOKE_PATH, {"ID": str(lease)}


def encode_batch(txns: t.Sequence[Txn]) -> tuple[str, Json]:
    """Return the path and the JSON body of one call with independent transactions.

    The transactions are nested in an outer one without a condition. The results
    are decoded by :func:`decode_batch`.
    """
    nested = [{"request_txn": _encode_txn(txn)} for txn in txns]
    return TXN_PATH, {"success": nested}


def decode_batch(body: Json) -> tuple[TxnResult, ...]:
    """Return the result of each transaction of :func:`encode_batch`, in order."""
    revision = _decode_revision(body)
    return tuple(
        _decode_txn(response["response_txn"], revision)
        for response in body.get("responses", [])
    )


def decode_result(req: StoreRequest, body: Json) -> StoreResult:
    """Decode the gateway's response to ``req``.

    The result of :class:`.LeaseKeepAlive` has a TTL of 0 if the lease has expired.
    """
    match req:
        case Range():
            return _decode_range(body)
        case Txn():
            return _decode_txn(body, _decode_revision(body))
        case LeaseGrant():
            return LeaseResult(int(body["ID"]), int(body["TTL"]))
        case LeaseKeepAlive(lease):
            result = body.get("result", body)
            return LeaseResult(lease, int(result.get("TTL", "0")))
        case LeaseRevoke(lease):
            return LeaseResult(lease, 0)


def encode_watch(prefix: str, start_revision: int) -> Json:
    """Return the JSON body that watches ``prefix``, from ``start_revision`` on."""
    return {
        "create_request": {
            "key": encode_text(prefix),
            "range_end": encode_text(prefix_end(prefix)),
            "start_revision": str(start_revision),
        }
    }


def decode_watch(body: Json) -> WatchBatch:
    """Decode one message of a watch stream; it may contain no events."""
    result = body["result"]
    events = (_decode_event(event) for event in result.get("events", []))
    return WatchBatch(_decode_revision(result), tuple(events))


def encode_kv(kv: KeyValue) -> Json:
    """Encode a key with its value and revisions as the gateway's JSON."""
    return {
        "key": encode_text(kv.key),
        "value": encode_text(kv.value),
        "create_revision": str(kv.create_revision),
        "mod_revision": str(kv.mod_revision),
    }


def decode_kv(body: Json) -> KeyValue:
    """Decode a key; absent fields become empty or 0."""
    return KeyValue(
        decode_text(body["key"]),
        decode_text(body.get("value")),
        int(body.get("create_revision", "0")),
        int(body.get("mod_revision", "0")),
    )


def _encode_range(req: Range) -> Json:
    body: Json = {"key": encode_text(req.start or req.key), "limit": str(req.limit)}
    if req.is_prefix:
        body["range_end"] = encode_text(prefix_end(req.key))
    return body


def _encode_compare(compare: Compare) -> Json:
    return {
        "key": encode_text(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def _encode_operation(operation: Put | Delete | Range) -> Json:
    match operation:
        case Put(key, value, lease):
            put = {"key": encode_text(key), "value": encode_text(value)}
            if lease:
                put["lease"] = str(lease)
            return {"request_put": put}
        case Delete(key):
            return {"request_delete_range": {"key": encode_text(key)}}
        case Range():
            return {"request_range": _encode_range(operation)}


def _encode_txn(txn: Txn) -> Json:
    return {
        "compare": [_encode_compare(compare) for compare in txn.compares],
        "success": [_encode_operation(operation) for operation in txn.success],
        "failure": [_encode_operation(operation) for operation in txn.failure],
    }


def _decode_range(body: Json) -> RangeResult:
    kvs = tuple(decode_kv(kv) for kv in body.get("kvs", []))
    return RangeResult(_decode_revision(body), kvs, bool(body.get("more", False)))


def _decode_txn(body: Json, revision: int) -> TxnResult:
    kvs: list[KeyValue] = []
    for response in body.get("responses", []):
        range_body = response.get("response_range", {})
        kvs.extend(decode_kv(kv) for kv in range_body.get("kvs", []))
    return TxnResult(bool(body.get("succeeded", False)), revision, tuple(kvs))


def _decode_event(body: Json) -> WatchEvent:
    return WatchEvent(decode_kv(body["kv"]), body.get("type") == "DELETE")


def _decode_revision(body: Json) -> int:
    return int(body.get("header", {}).get("revision", "0"))
