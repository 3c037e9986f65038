"""The platform's key-value service, behind the product's store requests."""

import base64
import binascii
import datetime as dt
import json
import typing as t
import urllib.parse

from attrs import define

from ..exceptions import (
    HistoryLostError,
    LeaseLostError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from ..http_client import (
    HttpLostError,
    HttpNotSentError,
    HttpPool,
    HttpRequest,
    HttpResponse,
)
from ..store import (
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
    is_write,
)

Json = dict[str, t.Any]

OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
#: Added to the wait of a watch before its connection counts as silent.
WATCH_SLACK = dt.timedelta(seconds=1)


@define(eq=False)
class PlatformStore:
    """Carries out store requests as calls of the platform.

    :param address: Address of the service, as IP:port.
    """

    pool: HttpPool
    address: str

    async def call(self, req: StoreRequest, timeout: dt.timedelta) -> StoreResult:
        """Carry out one request.

        :raises StoreUnavailableError: If it certainly had no effect.
        :raises StoreOutcomeUnknownError: If a write may have had its effect,
            or may still have it later.
        :raises LeaseLostError: If it names a lease that has ended.
        """
        response = await self._send(_encode(req), timeout, is_write(req))
        return _decode(req, response)

    async def watch(self, prefix: str, after: int, wait: dt.timedelta) -> WatchBatch:
        """Return the changes under ``prefix`` after a revision, once there are any.

        :raises HistoryLostError: If the changes are no longer kept.
        :raises StoreUnavailableError: If the service was not reached.
        """
        wait_ms = int(wait.total_seconds() * 1000)
        query = {"Prefix": prefix, "After": after, "WaitMs": wait_ms}
        req = HttpRequest("GET", _target("kv-watch", query))
        body = _read(await self._send(req, wait + WATCH_SLACK, False))
        events = tuple(_decode_event(event) for event in body["events"])
        return WatchBatch(int(body["AtRev"]), events)

    async def _send(
        self, req: HttpRequest, timeout: dt.timedelta, writes: bool
    ) -> HttpResponse:
        try:
            return await self.pool.request(self.address, req, timeout)
        except HttpNotSentError as exc:
            raise _unavailable(str(exc)) from exc
        except HttpLostError as exc:
            if writes:
                raise StoreOutcomeUnknownError(
                    f"A write got no answer ({exc}).",
                    "Read the key back or repeat the same compare-and-swap.",
                ) from exc
            raise _unavailable(str(exc)) from exc


def _unavailable(reason: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        f"The key-value service was not reached ({reason}).",
        "Check the address under [platform] and the service's health.",
    )


def _target(call: str, query: t.Mapping[str, t.Any]) -> str:
    return f"/fighead/{call}?{urllib.parse.urlencode(query)}"


def _post(call: str, body: Json) -> HttpRequest:
    data = json.dumps(body, separators=(",", ":")).encode()
    return HttpRequest("POST", f"/fighead/{call}", data)


def _encode(req: StoreRequest) -> HttpRequest:
    match req:
        case Range(is_prefix=False):
            return HttpRequest("GET", _target("kv-key", {"Key": req.key}))
        case Range():
            query: Json = {"Prefix": req.key}
            if req.start:
                query["After"] = req.start
            if req.is_stale_ok:
                query["StaleOk"] = 1
            return HttpRequest("GET", _target("kv-range", query))
        case Txn():
            return _post("kv-txn", _encode_txn(req))
        case LeaseGrant(ttl_s):
            return _post("kv-lease", {"TtlMs": ttl_s * 1000})
        case LeaseKeepAlive(lease):
            return HttpRequest("POST", f"/fighead/kv-keep/{lease}")
        case LeaseRevoke(lease):
            return HttpRequest("DELETE", f"/fighead/kv-lease-end/{lease}")


def _encode_txn(txn: Txn) -> Json:
    puts = [change for change in txn.success if isinstance(change, Put)]
    deletes = [change.key for change in txn.success if isinstance(change, Delete)]
    return {
        "Expect": [
            {"Key": compare.key, "Revision": compare.mod_revision}
            for compare in txn.compares
        ],
        "Writes": [_encode_put(put) for put in puts],
        "Deletes": deletes,
    }


def _encode_put(put: Put) -> Json:
    value = base64.b64encode(put.value.encode()).decode()
    row: Json = {"Key": put.key, "Value": value}
    if put.lease:
        row["Lease"] = put.lease
    return row


def _decode(req: StoreRequest, response: HttpResponse) -> StoreResult:
    match req:
        case Range(is_prefix=False):
            if response.status == NOT_FOUND:
                return RangeResult(0)
            body = _read(response)
            return RangeResult(int(body["AtRev"]), (_decode_item(body),))
        case Range():
            body = _read(response)
            kvs = tuple(_decode_item(item) for item in body["items"])
            return RangeResult(int(body["AtRev"]), kvs, bool(body["HasMore"]))
        case Txn():
            return _decode_txn(response)
        case LeaseGrant():
            body = _read(response)
            return LeaseResult(int(body["Lease"]), body["TtlMs"] / 1000)
        case LeaseKeepAlive(lease):
            if response.status == NOT_FOUND:
                return LeaseResult(lease, 0)
            return LeaseResult(lease, _read(response)["TtlMs"] / 1000)
        case LeaseRevoke(lease):
            if response.status != NOT_FOUND:
                _read(response)
            return LeaseResult(lease, 0)


def _decode_txn(response: HttpResponse) -> TxnResult:
    if response.status == NOT_FOUND:
        raise LeaseLostError(
            "The service no longer knows the lease.",
            "Nothing is to be done: the entry asks for a new lease itself.",
        )
    if response.status == PRECONDITION_FAILED:
        items = json.loads(response.body).get("items", [])
        return TxnResult(False, 0, tuple(_decode_item(item) for item in items))
    return TxnResult(True, int(_read(response)["Revision"]))


def _read(response: HttpResponse) -> Json:
    """Return the body of a good answer; any other one had no effect."""
    if response.status == GONE:
        raise HistoryLostError(
            "The service no longer has this history.", "List the keys again."
        )
    if response.status != OK:
        raise StoreRejectedError(
            f"The service answered {response.status}.",
            "Wait: it turns this entry away or is over its rates.",
        )
    try:
        return json.loads(response.body) if response.body else {}
    except ValueError as exc:
        raise _unavailable(f"no JSON: {exc}") from exc


def _decode_item(item: Json) -> KeyValue:
    """Return an item; a value that is no text reads as an empty one."""
    try:
        value = base64.b64decode(item.get("Value", "")).decode()
    except (binascii.Error, UnicodeDecodeError):
        value = ""
    return KeyValue(
        item["Key"], value, int(item.get("Created", 0)), int(item.get("Revision", 0))
    )


def _decode_event(event: Json) -> WatchEvent:
    return WatchEvent(_decode_item(event), bool(event.get("Deleted", False)))
