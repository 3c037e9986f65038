"""Remembers when calls to instances got no answer although later ones did.

Such a call may be carried out late, so a start from about the same time may be, too.
"""

import datetime as dt

from attrs import define, field

#: Losses that are this close count as one span, also for the time between them.
MERGED_GAP = dt.timedelta(seconds=1)
#: How long a span is kept. A start that may be carried out late is waited for until its
#: lease has run out, half a minute after the order at most.
KEPT_TIME = dt.timedelta(minutes=2)


@define(eq=False)
class LostCalls:
    """Spans in which calls got no answer, as pairs of their first and last time."""

    spans: list[tuple[dt.datetime, dt.datetime]] = field(factory=list)

    def note(self, at: dt.datetime) -> None:
        """Add a lost call; calls may be noted in any order."""
        self.add_span(at, at)

    def add_span(self, first: dt.datetime, last: dt.datetime) -> None:
        """Add calls that were lost in a span of time."""
        kept = []
        for span in self.spans:
            if span[0] - MERGED_GAP <= last and first <= span[1] + MERGED_GAP:
                first, last = min(first, span[0]), max(last, span[1])
            else:
                kept.append(span)
        latest = max(last, *(span[1] for span in kept)) if kept else last
        kept.append((first, last))
        self.spans = sorted(s for s in kept if latest - s[1] <= KEPT_TIME)

    def take_before(self, at: dt.datetime) -> list[tuple[dt.datetime, dt.datetime]]:
        """Remove and return the spans before a time; one that lasts on is parted."""
        taken = [(first, min(last, at)) for first, last in self.spans if first < at]
        self.spans = [
            (max(first, at), last) for first, last in self.spans if last >= at
        ]
        return taken

    def has_any_near(self, at: dt.datetime, distance: dt.timedelta) -> bool:
        """Whether a call was lost at most ``distance`` before or after a time."""
        return any(
            first - distance <= at <= last + distance for first, last in self.spans
        )
