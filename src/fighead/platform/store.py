"""Client of the platform's key-value service for fighead's store requests."""

import base64
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
from .decoding import DECODE_ERRORS

Json = dict[str, t.Any]

OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
REJECTED = 503
FIRST_SERVER_ERROR = 500
#: Largest revision and lease ID: the service counts in 64 bits.
MAX_INT64 = 2**63 - 1
#: Time beyond the wait of a watch, and between two arrivals of its data, after which
#: its call times out.
WATCH_TIMEOUT_MARGIN = dt.timedelta(seconds=1)


@define(eq=False)
class PlatformStoreClient:
    """Sends store requests to the key-value service over HTTP.

    Implements :class:`.StoreClient`.

    :param address: Address of the service, as IP:port.
    """

    pool: HttpPool
    address: str

    async def call(self, req: StoreRequest, timeout: dt.timedelta) -> StoreResult:
        """Send one request and return its result.

        :param timeout: Limit on the whole call; for a read of a prefix, whose result
            may be large, limit on the time in which nothing arrives.
        :raises StoreUnavailableError: If the request certainly had no effect.
        :raises StoreOutcomeUnknownError: If a write may have taken effect or
            may still take effect.
        :raises LeaseLostError: If a write names a lease that has ended.
        """
        is_large = isinstance(req, Range) and req.is_prefix
        response = await self._send(
            _encode_request(req), timeout, timeout if is_large else None, is_write(req)
        )
        is_uncertain = response.status >= FIRST_SERVER_ERROR
        if is_write(req) and is_uncertain and response.status != REJECTED:
            raise _unknown_outcome(f"its status is {response.status}")
        try:
            return _decode_result(req, response)
        except DECODE_ERRORS as exc:
            # Only a 200 and a 412 have a body that matters, and a 200 says that the
            # request took effect.
            if is_write(req):
                raise _unknown_outcome(f"it can't be read: {exc!r}") from exc
            raise _unavailable(f"the answer can't be read: {exc!r}") from exc

    async def watch(self, prefix: str, after: int, wait: dt.timedelta) -> WatchBatch:
        """Wait for changes under ``prefix`` after revision ``after``.

        :param wait: Longest wait; the batch is empty if nothing has changed by
            then.
        :raises HistoryLostError: If the service has discarded these changes.
        :raises StoreUnavailableError: If the service can't be reached or
            rejects the request.
        """
        wait_ms = int(wait.total_seconds() * 1000)
        query = {"Prefix": prefix, "After": after, "WaitMs": wait_ms}
        req = HttpRequest("GET", _make_target("kv-watch", query))
        response = await self._send_watch(req, wait)
        try:
            body = _decode_response(response)
            events = tuple(_decode_event(event) for event in body["events"])
            return WatchBatch(_expect_int64(body["AtRev"]), events)
        except DECODE_ERRORS as exc:
            raise _unavailable(f"the answer can't be read: {exc!r}") from exc

    async def _send_watch(self, req: HttpRequest, wait: dt.timedelta) -> HttpResponse:
        timeout = wait + WATCH_TIMEOUT_MARGIN
        try:
            return await self._send(req, timeout, WATCH_TIMEOUT_MARGIN, False)
        except StoreUnavailableError:
            # The idle channels may have gone silent with this one.
            self.pool.close_idle_connections(self.address)
            raise

    async def _send(
        self,
        req: HttpRequest,
        timeout: dt.timedelta,
        idle_timeout: dt.timedelta | None,
        may_write: bool,
    ) -> HttpResponse:
        try:
            return await self.pool.request(self.address, req, timeout, idle_timeout)
        except HttpNotSentError as exc:
            raise _unavailable(str(exc)) from exc
        except HttpLostError as exc:
            if may_write:
                raise _unknown_outcome(str(exc)) from exc
            raise _unavailable(str(exc)) from exc


def _unknown_outcome(reason: str) -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        f"A write got no answer that tells its outcome ({reason}).",
        "Read the key back or retry the same compare-and-swap.",
    )


def _unavailable(reason: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        f"The key-value service was not reached ({reason}).",
        "Check Address under [platform] and the health of the service.",
    )


def _make_target(call: str, query: t.Mapping[str, t.Any]) -> str:
    return f"/fighead/{call}?{urllib.parse.urlencode(query)}"


def _make_post(call: str, body: Json) -> HttpRequest:
    data = json.dumps(body, separators=(",", ":")).encode()
    return HttpRequest("POST", f"/fighead/{call}", data)


def _encode_request(req: StoreRequest) -> HttpRequest:
    match req:
        case Range(is_prefix=False):
            return HttpRequest("GET", _make_target("kv-key", {"Key": req.key}))
        case Range():
            query: Json = {"Prefix": req.key}
            if req.start:
                query["After"] = req.start
            if req.is_stale_ok:
                query["StaleOk"] = 1
            return HttpRequest("GET", _make_target("kv-range", query))
        case Txn():
            return _make_post("kv-txn", _encode_txn(req))
        case LeaseGrant(ttl_s):
            return _make_post("kv-lease", {"TtlMs": ttl_s * 1000})
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


def _decode_result(req: StoreRequest, response: HttpResponse) -> StoreResult:
    match req:
        case Range(is_prefix=False):
            if response.status == NOT_FOUND:
                return RangeResult(0)
            body = _decode_response(response)
            return RangeResult(_expect_int64(body["AtRev"]), (_decode_item(body),))
        case Range():
            body = _decode_response(response)
            kvs = tuple(_decode_item(item) for item in body["items"])
            return RangeResult(_expect_int64(body["AtRev"]), kvs, bool(body["HasMore"]))
        case Txn():
            return _decode_txn(response)
        case LeaseGrant():
            body = _decode_response(response)
            return LeaseResult(_expect_int64(body["Lease"]), body["TtlMs"] / 1000)
        case LeaseKeepAlive(lease):
            if response.status == NOT_FOUND:
                return LeaseResult(lease, 0)
            return LeaseResult(lease, _decode_response(response)["TtlMs"] / 1000)
        case LeaseRevoke(lease):
            if response.status != NOT_FOUND:
                _decode_response(response)
            return LeaseResult(lease, 0)


def _decode_txn(response: HttpResponse) -> TxnResult:
    if response.status == NOT_FOUND:
        raise LeaseLostError(
            "The service no longer knows the lease.",
            "No action needed: the entry requests a new lease.",
        )
    if response.status == PRECONDITION_FAILED:
        items = json.loads(response.body).get("items", [])
        return TxnResult(False, 0, tuple(_decode_item(item) for item in items))
    return TxnResult(True, _expect_int64(_decode_response(response)["Revision"]))


def _decode_response(response: HttpResponse) -> Json:
    """Return the body of a 200 response; with any other status nothing was done.

    :raises ValueError: If the body isn't JSON.
    """
    if response.status == GONE:
        raise HistoryLostError(
            "The service no longer has this history.",
            "List the keys again.",
        )
    if response.status != OK:
        raise StoreRejectedError(
            f"The service answered {response.status}.",
            "Retry later: it refuses this entry or has reached its rate limits.",
        )
    return json.loads(response.body) if response.body else {}


def _decode_item(item: Json) -> KeyValue:
    """Return an item; a value that isn't base64 of UTF-8 is read as empty."""
    try:
        value = base64.b64decode(item.get("Value", "")).decode()
    except (TypeError, ValueError):
        value = ""
    if not isinstance(item["Key"], str):
        raise TypeError("expected a string")
    return KeyValue(
        item["Key"],
        value,
        _expect_int64(item.get("Created", 0)),
        _expect_int64(item.get("Revision", 0)),
    )


def _expect_int64(value: t.Any) -> int:
    number = int(value)
    if not 0 <= number <= MAX_INT64:
        raise ValueError(f"expected 0 to {MAX_INT64}")
    return number


def _decode_event(event: Json) -> WatchEvent:
    return WatchEvent(_decode_item(event), bool(event.get("Deleted", False)))
