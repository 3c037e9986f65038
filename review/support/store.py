"""Stand-in for the platform's metadata store, as the page on the protocol has it."""

import asyncio
import base64
import time
import typing as t

#: Largest number of items in a page.
PAGE_ITEMS = 500
#: Interval between two checks for ended leases, in seconds.
EXPIRY_INTERVAL_S = 0.05

Answer = tuple[int, t.Any]


class Store:
    """Keys, leases and the history of changes. It loses nothing."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, t.Any]] = {}
        self._history: list[dict[str, t.Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """Remove the keys of ended leases until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = time.monotonic()
            for lease, (ends_at, _) in list(self._leases.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    async def handle(
        self, method: str, path: str, query: dict[str, str], body: t.Any
    ) -> Answer:
        """Carry out one call."""
        call = path.removeprefix("/fighead/")
        if call == "kv-key":
            return self._read_key(query["Key"])
        if call == "kv-range":
            return self._read_range(query["Prefix"], query.get("After", ""))
        if call == "kv-watch":
            return await self._watch(
                query["Prefix"], int(query["After"]), int(query.get("WaitMs", 0))
            )
        if call == "kv-txn":
            return self._commit(body)
        if call == "kv-lease":
            return self._grant(body["TtlMs"] / 1000)
        name, _, number = call.partition("/")
        if name == "kv-keep":
            return self._keep(int(number))
        if name == "kv-lease-end":
            self._end_lease(int(number))
            return 200, {}
        return 400, {}

    def put(self, key: str, value: str) -> int:
        """Write a key as the operator does; return the revision."""
        encoded = base64.b64encode(value.encode()).decode()
        self._apply([{"Key": key, "Value": encoded}], [])
        return self.revision

    def read(self, key: str) -> str | None:
        """Return the text of a key; ``None`` if it is absent."""
        item = self.items.get(key)
        return base64.b64decode(item["Value"]).decode() if item else None

    def _read_key(self, key: str) -> Answer:
        item = self.items.get(key)
        return (200, {**item, "AtRev": self.revision}) if item else (404, {})

    def _read_range(self, prefix: str, after: str) -> Answer:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "HasMore": has_more, "AtRev": self.revision}

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> Answer:
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AtRev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _commit(self, body: t.Any) -> Answer:
        expected = body.get("Expect", [])
        if any(self._revision_of(row["Key"]) != row["Revision"] for row in expected):
            keys = [row["Key"] for row in expected]
            return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        writes = body.get("Writes", [])
        if any(r.get("Lease") and r["Lease"] not in self._leases for r in writes):
            return 404, {}
        self._apply(writes, body.get("Deletes", []))
        return 200, {"Revision": self.revision}

    def _revision_of(self, key: str) -> int:
        return self.items[key]["Revision"] if key in self.items else 0

    def _apply(self, writes: list[t.Any], deletes: t.Iterable[str]) -> None:
        self.revision += 1
        for row in writes:
            known = self.items.get(row["Key"])
            item = {
                "Key": row["Key"],
                "Value": row["Value"],
                "Revision": self.revision,
                "Created": known["Created"] if known else self.revision,
                "Lease": row.get("Lease", 0),
            }
            self.items[row["Key"]] = item
            self._history.append(item)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                event = {"Key": key, "Revision": self.revision, "Deleted": True}
                self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _grant(self, ttl_s: float) -> Answer:
        self._last_lease += 1
        self._leases[self._last_lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"Lease": self._last_lease, "TtlMs": int(ttl_s * 1000)}

    def _keep(self, lease: int) -> Answer:
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"TtlMs": int(ttl_s * 1000)}

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self._apply([], keys)
