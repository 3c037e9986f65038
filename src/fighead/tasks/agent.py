"""The task that gives orders to one instance and hears from it."""

import datetime as dt
import typing as t

from attrs import define, field, frozen

from ..clock import Clock, sleep
from ..decisions.instance_tracking import latest_lease_expiry
from ..exceptions import WorkerError, WorkerRefusedError, WorkerUnreachableError
from ..job import TaskKey
from ..mailbox import Mailbox, spawn
from ..run import Instance, Listing, PaceRun, Refusal, StartRun, StopRun

#: How long an instance may hold a listing back for an end. Leases are renewed
#: at least this often.
LISTING_WAIT = dt.timedelta(milliseconds=1000)
#: Time after which a call counts as unanswered.
CALL_TIMEOUT = dt.timedelta(milliseconds=800)
#: Pause before an unanswered call is sent again.
RETRY_PAUSE = dt.timedelta(milliseconds=150)
#: How often a start is sent before it is given up and stopped.
MAX_STARTS = 2
#: Least time between two listings that bring nothing new.
QUIET_PAUSE = dt.timedelta(milliseconds=100)


class InstanceClient(t.Protocol):
    """Calls to one life of an instance; each raises :exc:`.WorkerError`."""

    instance: Instance

    async def start(
        self, order: StartRun, lease_until_ms: int, fence: int, timeout: dt.timedelta
    ) -> int:
        """Start a run and return the instance's clock in ms."""
        ...

    async def stop(self, order: StopRun, fence: int, timeout: dt.timedelta) -> None:
        """Stop a run."""
        ...

    async def set_pace(self, order: PaceRun, fence: int, timeout: dt.timedelta) -> None:
        """Change the speed of a run."""
        ...

    async def renew_and_list(
        self,
        fence: int,
        acknowledged: int,
        lease_until_ms: int,
        wait: dt.timedelta,
        timeout: dt.timedelta,
    ) -> Listing:
        """Extend leases and list runs and ends."""
        ...


@frozen
class Acknowledge:
    """Lets the instance forget the ends up to ``sequence``."""

    sequence: int


@frozen
class SetFence:
    """The scheduler was elected anew: later orders carry this fence."""

    fence: int


@frozen
class Listed:
    """An instance answered with its lists.

    :param leases_end_at: When everything there ends unless it is heard again,
        as far as this agent's calls go; ``None`` as for :class:`Silent`.
    """

    identity: str
    listing: Listing
    sent_at: dt.datetime
    leases_end_at: dt.datetime | None


@frozen
class Silent:
    """A call to an instance was not answered.

    :param leases_end_at: As for :class:`Listed`; ``None`` if no call of this
        agent can have extended a lease there.
    """

    identity: str
    reason: str
    leases_end_at: dt.datetime | None


@frozen
class Reborn:
    """An instance has started anew under its id."""

    identity: str


@frozen
class Deposed:
    """An instance has seen a higher fence.

    :param fence: The fence that it refused.
    """

    identity: str
    fence: int


@frozen
class StartAnswered:
    """The answer to a start; ``refusal`` is ``None`` if the run was started."""

    identity: str
    task: TaskKey
    number: int
    refusal: Refusal | None


@frozen
class StartUnanswered:
    """A start may or may not have been carried out, or may be later."""

    identity: str
    task: TaskKey
    number: int


@frozen
class StopAnswered:
    """An instance confirmed a stop."""

    identity: str
    task: TaskKey
    number: int


AgentReport = (
    Listed | Silent | Reborn | Deposed | StartAnswered | StartUnanswered | StopAnswered
)
AgentOrder = StartRun | StopRun | PaceRun | Acknowledge | SetFence


@define(eq=False)
class AgentTask:
    """Owns the calls to one instance.

    :param lease: Lease that each call asks for.
    :param may_act: Whether leases may be given now.
    :param report: Takes each report; it must not block.
    """

    client: InstanceClient
    clock: Clock
    lease: dt.timedelta
    fence: int
    may_act: t.Callable[[], bool]
    report: t.Callable[[AgentReport], None]
    mailbox: Mailbox[AgentOrder] = field(factory=lambda: Mailbox("agent", 4096))
    _acknowledged: int = 0
    _seen: int = 0
    _clock_ms: int = 0
    _clock_at: dt.datetime | None = None
    #: When the last call that may extend leases was sent.
    _extended_at: dt.datetime | None = None
    _is_answering: bool = False
    _is_stopped: bool = False
    _fut: t.Any = None

    @property
    def identity(self) -> str:
        """Name of the life of the instance that is called."""
        return self.client.instance.identity

    def start(self) -> None:
        """Begin to serve the mailbox and to list."""
        self._fut = (spawn(self._take_orders()), spawn(self._keep_listing()))

    def stop(self) -> None:
        """End the task; what was sent may still be carried out."""
        self._is_stopped = True
        for fut in self._fut or ():
            fut.cancel()

    async def _take_orders(self) -> None:
        while not self._is_stopped:
            order = await self.mailbox.get()
            match order:
                case StartRun():
                    spawn(self._start(order))
                case StopRun():
                    spawn(self._stop(order))
                case PaceRun():
                    spawn(self._pace(order))
                case Acknowledge(sequence):
                    self._acknowledged = max(self._acknowledged, sequence)
                case SetFence(fence):
                    self.fence = max(self.fence, fence)

    async def _keep_listing(self) -> None:
        wait = dt.timedelta()
        while not self._is_stopped:
            if not self.may_act():
                await sleep(self.clock, RETRY_PAUSE)
                continue
            sent_at, fence = self.clock.now(), self.fence
            try:
                listing = await self._hold(wait)
            except WorkerError as exc:
                self._explain(exc, fence)
                await sleep(self.clock, RETRY_PAUSE)
                wait = dt.timedelta()
                continue
            is_news = self._deliver(listing, sent_at)
            wait = LISTING_WAIT
            if not is_news and self.clock.now() - sent_at < QUIET_PAUSE:
                await sleep(self.clock, QUIET_PAUSE)

    async def _hold(self, wait: dt.timedelta) -> Listing:
        # An instance that does not answer may still hear: its leases must be
        # left to run out, so that their end is known.
        lease_until_ms = self._extend() if self._is_answering else 0
        listing = await self.client.renew_and_list(
            self.fence, self._acknowledged, lease_until_ms, wait, CALL_TIMEOUT
        )
        self._is_answering = True
        return listing

    def _extend(self) -> int:
        """Return the end of a new lease on the instance's clock; 0 if unknown."""
        if self._clock_at is None:
            return 0
        self._extended_at = self.clock.now()
        lasts = self._extended_at - self._clock_at + self.lease
        return self._clock_ms + int(lasts / dt.timedelta(milliseconds=1))

    def _bound(self) -> dt.datetime | None:
        """Return when the last lease that was asked for has certainly run out."""
        if self._extended_at is None:
            return None
        return latest_lease_expiry(self._extended_at, self.lease)

    def _report_silence(self, reason: str) -> None:
        self._is_answering = False
        self.report(Silent(self.identity, reason, self._bound()))

    def _deliver(self, listing: Listing, sent_at: dt.datetime) -> bool:
        """Report a listing; whether it holds an end that is new."""
        self._clock_ms, self._clock_at = listing.clock_ms, self.clock.now()
        self.report(Listed(self.identity, listing, sent_at, self._bound()))
        last = listing.ended[-1].sequence if listing.ended else 0
        is_news, self._seen = last > self._seen, max(last, self._seen)
        return is_news

    def _report_fenced(self, fence: int) -> None:
        """Report a refused fence, unless a higher one has replaced it since."""
        if fence == self.fence:
            self.report(Deposed(self.identity, fence))

    def _explain(self, exc: WorkerError, fence: int) -> None:
        if isinstance(exc, WorkerRefusedError):
            if exc.reason == Refusal.FENCED.value:
                self._report_fenced(fence)
                return
            if exc.reason == Refusal.OTHER_INCARNATION.value:
                self.report(Reborn(self.identity))
                return
        self._report_silence(exc.message)

    async def _start(self, order: StartRun) -> None:
        refusal: Refusal | None = None
        lease_until_ms = self._extend()
        for _ in range(MAX_STARTS):
            if not self.may_act() or self._is_stopped:
                break
            fence = self.fence
            try:
                await self.client.start(order, lease_until_ms, fence, CALL_TIMEOUT)
            except WorkerRefusedError as exc:
                refusal = Refusal(exc.reason)
            except WorkerUnreachableError as exc:
                self._report_silence(exc.message)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            if refusal is Refusal.FENCED:
                self._report_fenced(fence)
                if fence != self.fence:
                    refusal = None
                    continue
                return
            self._report_start(order, refusal)
            return
        self.report(StartUnanswered(self.identity, order.task, order.number))

    def _report_start(self, order: StartRun, refusal: Refusal | None) -> None:
        answer = StartAnswered(self.identity, order.task, order.number, refusal)
        self.report(answer)

    async def _stop(self, order: StopRun) -> None:
        """Repeat a stop until it is answered; the instance may be gone by then."""
        while not self._is_stopped:
            fence = self.fence
            try:
                await self.client.stop(order, fence, CALL_TIMEOUT)
            except WorkerUnreachableError:
                await sleep(self.clock, RETRY_PAUSE * 2)
                continue
            except WorkerRefusedError as exc:
                if exc.reason == Refusal.FENCED.value:
                    self._report_fenced(fence)
                    if fence != self.fence:
                        continue
                    return
                if exc.reason == Refusal.UNHEALTHY.value:
                    await sleep(self.clock, RETRY_PAUSE * 2)
                    continue
            self.report(StopAnswered(self.identity, order.task, order.number))
            return

    async def _pace(self, order: PaceRun) -> None:
        fence = self.fence
        try:
            await self.client.set_pace(order, fence, CALL_TIMEOUT)
        except WorkerError as exc:
            # The next listing shows whether the pace has to be ordered again.
            self._explain(exc, fence)
