"""The JSON gateway of the etcd v3 protocol, both directions.

Keys and values travel as base64, numbers as decimal strings.
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
    """Return ``text`` as the gateway's bytes field."""
    return base64.b64encode(text.encode()).decode()


def decode_text(field: str | None) -> str:
    """Return the text of a bytes field; an absent one is empty."""
    return base64.b64decode(field or "").decode()


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys that begin with ``prefix``.

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
    """Return one call that carries out independent transactions."""
    nested = [{"request_txn": _encode_txn(txn)} for txn in txns]
    return TXN_PATH, {"success": nested}


def decode_batch(body: Json) -> tuple[TxnResult, ...]:
    """Return the results of a call made by :func:`encode_batch`."""
    revision = _revision(body)
    return tuple(
        _decode_txn(response["response_txn"], revision)
        for response in body.get("responses", [])
    )


def decode_result(req: StoreRequest, body: Json) -> StoreResult:
    """Decode the gateway's answer to ``req``."""
    match req:
        case Range():
            return _decode_range(body)
        case Txn():
            return _decode_txn(body, _revision(body))
        case LeaseGrant():
            return LeaseResult(int(body["ID"]), int(body["TTL"]))
        case LeaseKeepAlive(lease):
            result = body.get("result", body)
            return LeaseResult(lease, int(result.get("TTL", "0")))
        case LeaseRevoke(lease):
            return LeaseResult(lease, 0)


def encode_watch(prefix: str, start_revision: int) -> Json:
    """Return the body that opens a watch from ``start_revision`` on."""
    return {
        "create_request": {
            "key": encode_text(prefix),
            "range_end": encode_text(prefix_end(prefix)),
            "start_revision": str(start_revision),
        }
    }


def decode_watch(body: Json) -> WatchBatch:
    """Decode one message of a watch stream."""
    result = body["result"]
    events = (_decode_event(event) for event in result.get("events", []))
    return WatchBatch(_revision(result), tuple(events))


def encode_kv(kv: KeyValue) -> Json:
    """Return a key as the gateway writes it."""
    return {
        "key": encode_text(kv.key),
        "value": encode_text(kv.value),
        "create_revision": str(kv.create_revision),
        "mod_revision": str(kv.mod_revision),
    }


def decode_kv(body: Json) -> KeyValue:
    """Return the key that the gateway wrote."""
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
    return RangeResult(_revision(body), kvs, bool(body.get("more", False)))


def _decode_txn(body: Json, revision: int) -> TxnResult:
    kvs: list[KeyValue] = []
    for response in body.get("responses", []):
        found = response.get("response_range", {})
        kvs.extend(decode_kv(kv) for kv in found.get("kvs", []))
    return TxnResult(bool(body.get("succeeded", False)), revision, tuple(kvs))


def _decode_event(body: Json) -> WatchEvent:
    return WatchEvent(decode_kv(body["kv"]), body.get("type") == "DELETE")


def _revision(body: Json) -> int:
    return int(body.get("header", {}).get("revision", "0"))
