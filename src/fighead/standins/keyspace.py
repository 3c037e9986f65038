"""In-memory keys, leases and revisions for stand-ins of the key-value service."""

import bisect
import datetime as dt
import typing as t

from attrs import define, evolve, field

from ..store import KeyValue, WatchEvent


@define
class _Lease:
    ttl: dt.timedelta
    expires_at: dt.datetime
    keys: set[str] = field(factory=set)


@define
class Keyspace:
    """Keys and leases in memory; each change gets the next revision.

    :param on_change: Called with the revision and the events of each change, after
        it was applied.
    :param history: All events so far, each with its revision.
    """

    on_change: t.Callable[[int, list[WatchEvent]], None] = lambda _rev, _events: None
    revision: int = 1
    _kvs: dict[str, KeyValue] = field(factory=dict)
    _keys: list[str] = field(factory=list)
    _leases: dict[int, _Lease] = field(factory=dict)
    _lease_of: dict[str, int] = field(factory=dict)
    _next_lease: int = 1000
    history: list[tuple[int, WatchEvent]] = field(factory=list)

    def get(self, key: str) -> KeyValue:
        """Return a key; ``mod_revision`` is 0 if it does not exist."""
        return self._kvs.get(key, KeyValue(key))

    def scan(self, start: str, end: str, limit: int) -> tuple[list[KeyValue], bool]:
        """Return the keys from ``start`` up to, but not including, ``end``, sorted.

        :param limit: Maximum number of keys to return; 0 for all.
        :returns: The keys, and whether more than ``limit`` were found.
        """
        first = bisect.bisect_left(self._keys, start)
        last = bisect.bisect_left(self._keys, end)
        stop = min(last, first + limit) if limit else last
        return [self._kvs[key] for key in self._keys[first:stop]], stop < last

    def apply(self, puts: list[tuple[str, str, int]], deletes: list[str]) -> None:
        """Apply writes and deletions together at the next revision.

        Deletions of absent keys are ignored; the revision stays if nothing changes.

        :param puts: Key, value and lease of each write; lease 0 for none.
        """
        events = []
        revision = self.revision + 1
        for key, value, lease in puts:
            events.append(self._put(key, value, lease, revision))
        for key in deletes:
            if key in self._kvs:
                events.append(self._delete(key, revision))
        if not events:
            return
        self.revision = revision
        self.history.extend((revision, event) for event in events)
        self.on_change(revision, events)

    def _put(self, key: str, value: str, lease: int, revision: int) -> WatchEvent:
        old = self._kvs.get(key)
        if old is None:
            bisect.insort(self._keys, key)
            kv = KeyValue(key, value, revision, revision)
        else:
            kv = evolve(old, value=value, mod_revision=revision)
        self._kvs[key] = kv
        self._detach_lease(key)
        if lease:
            self._leases[lease].keys.add(key)
            self._lease_of[key] = lease
        return WatchEvent(kv)

    def _delete(self, key: str, revision: int) -> WatchEvent:
        del self._kvs[key]
        del self._keys[bisect.bisect_left(self._keys, key)]
        self._detach_lease(key)
        return WatchEvent(KeyValue(key, mod_revision=revision), deleted=True)

    def _detach_lease(self, key: str) -> None:
        lease = self._lease_of.pop(key, 0)
        if lease in self._leases:
            self._leases[lease].keys.discard(key)

    def has_lease(self, lease: int) -> bool:
        """Whether the lease was granted and has neither expired nor been revoked."""
        return lease in self._leases

    def grant(self, ttl: dt.timedelta, now: dt.datetime) -> int:
        """Create a lease that expires ``ttl`` after ``now`` and return its id."""
        self._next_lease += 1
        self._leases[self._next_lease] = _Lease(ttl, now + ttl)
        return self._next_lease

    def keep_alive(self, lease: int, now: dt.datetime) -> dt.timedelta:
        """Renew a lease and return its TTL; zero if it does not exist."""
        state = self._leases.get(lease)
        if state is None:
            return dt.timedelta()
        state.expires_at = now + state.ttl
        return state.ttl

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys; unknown leases are ignored."""
        state = self._leases.pop(lease, None)
        if state is not None:
            self.apply([], sorted(state.keys))

    def expire(self, now: dt.datetime) -> None:
        """Revoke all leases that have expired by ``now``."""
        expired = [
            lease for lease, state in self._leases.items() if state.expires_at <= now
        ]
        for lease in expired:
            self.revoke(lease)
