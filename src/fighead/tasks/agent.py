"""The task that sends orders to one instance and polls its runs."""

import datetime as dt
import typing as t

from attrs import define, field, frozen
from twisted.internet.defer import Deferred

from ..clock import Clock, sleep
from ..decisions.instance_tracking import latest_lease_expiry
from ..exceptions import (
    WorkerError,
    WorkerNotReachedError,
    WorkerRefusedError,
    WorkerRestartedError,
    WorkerUnreachableError,
)
from ..job import TaskKey
from ..mailbox import Mailbox, spawn
from ..run import Listing, PaceRun, RefusalReason, RegisteredInstance, StartRun, StopRun

#: How long an instance may delay a listing until a run ends. Leases are renewed
#: at least this often while the instance answers.
LISTING_WAIT = dt.timedelta(milliseconds=1000)
#: The same while instances must confirm the leader in the store's place. Two listings
#: fit into the time for which a confirmation counts.
SHORT_LISTING_WAIT = dt.timedelta(milliseconds=300)
#: Time after which a call counts as unanswered, not counting the listing wait.
CALL_TIMEOUT = dt.timedelta(milliseconds=800)
#: Delay before a failed call is retried.
RETRY_PAUSE = dt.timedelta(milliseconds=150)
#: Number of times a start is sent; if none is answered, the run is stopped.
MAX_START_ATTEMPTS = 2
#: Delay before the next listing if the last one was answered within this time and
#: had no new end. While an end is not acknowledged, an instance answers at once, so
#: that the next listing waits as long for the acknowledgement.
UNCHANGED_LISTING_DELAY = dt.timedelta(milliseconds=100)


class InstanceClient(t.Protocol):
    """Calls to one incarnation of an instance; each raises :exc:`.WorkerError`."""

    instance: RegisteredInstance

    async def start(
        self, order: StartRun, lease_until_ms: int, fence: int, timeout: dt.timedelta
    ) -> int:
        """Start a run and return the time of the instance's clock in ms.

        :param lease_until_ms: Expiry of the run's lease on that clock.
        """
        ...

    async def stop(self, order: StopRun, fence: int, timeout: dt.timedelta) -> None:
        """Stop a run, or prevent its start if that has not arrived yet."""
        ...

    async def set_pace(self, order: PaceRun, fence: int, timeout: dt.timedelta) -> None:
        """Limit a run to a percentage of its full speed."""
        ...

    async def renew_and_list(
        self,
        fence: int,
        acknowledged: int,
        lease_until_ms: int,
        wait: dt.timedelta,
        timeout: dt.timedelta,
    ) -> Listing:
        """Extend the leases of all runs and list the runs and their ends.

        :param acknowledged: Sequence number up to which ends may be discarded.
        :param lease_until_ms: New expiry on the instance's clock; 0 leaves the
            leases unchanged.
        :param wait: How long the answer may be delayed until a run ends; added to
            ``timeout``.
        """
        ...


@frozen
class Acknowledge:
    """Allows the instance to discard the ends up to ``sequence``."""

    sequence: int


@frozen
class SetFence:
    """The scheduler was re-elected; later orders carry this fence."""

    fence: int


@frozen
class AnswerWanted:
    """Requests an answer at once, beside a listing that the instance may delay."""


@frozen
class ListingReceived:
    """An instance listed its runs and their ends.

    :param sent_at: When the listing was requested.
    :param leases_end_at: Latest expiry of the leases requested by this agent;
        ``None`` if it has requested none.
    :param fence: Fence that the instance accepted.
    """

    identity: str
    listing: Listing
    sent_at: dt.datetime
    leases_end_at: dt.datetime | None
    fence: int = 0


@frozen
class CallFailed:
    """A call to an instance failed; it may still have taken effect.

    :param leases_end_at: As for :class:`ListingReceived`.
    """

    identity: str
    reason: str
    leases_end_at: dt.datetime | None


@frozen
class InstanceRestarted:
    """Another incarnation of the instance has replaced the called one.

    :param incarnation: The one that answered; empty if it is not known.
    """

    identity: str
    incarnation: str = ""


@frozen
class FenceRefused:
    """An instance refused a call because it has seen a higher fence.

    :param fence: The refused fence.
    """

    identity: str
    fence: int


@frozen
class StartAnswered:
    """An instance answered a start.

    :param refusal: ``None`` if the run started.
    :param is_certain: Whether each attempt was answered, so that none arrives later.
    """

    identity: str
    task: TaskKey
    number: int
    refusal: RefusalReason | None
    is_certain: bool = False


@frozen
class StartUnanswered:
    """A start was not answered; it may have taken effect or may still do so."""

    identity: str
    task: TaskKey
    number: int


@frozen
class StopAnswered:
    """An instance answered a stop, so that the order need not be repeated."""

    identity: str
    task: TaskKey
    number: int


AgentReport = (
    ListingReceived
    | CallFailed
    | InstanceRestarted
    | FenceRefused
    | StartAnswered
    | StartUnanswered
    | StopAnswered
)
AgentOrder = StartRun | StopRun | PaceRun | Acknowledge | SetFence | AnswerWanted


@define(eq=False)
class AgentTask:
    """Owns the calls to one incarnation of an instance.

    :param lease: Lease requested for the runs by each start and listing.
    :param fence: Fence sent with each call.
    :param may_act: Whether the entry may send starts and renew leases now.
    :param report: Called with each report; must not block.
    :param needs_answers: Whether the instance must confirm the leader by its answers.
    :param may_renew: Whether leases may be extended, beside ``may_act``.
    :param may_ask: Whether the instance may be asked for an answer without authority.
    """

    client: InstanceClient
    clock: Clock
    lease: dt.timedelta
    fence: int
    may_act: t.Callable[[], bool]
    report: t.Callable[[AgentReport], None]
    needs_answers: t.Callable[[], bool] = lambda: False
    may_renew: t.Callable[[], bool] = lambda: True
    may_ask: t.Callable[[], bool] = lambda: False
    mailbox: Mailbox[AgentOrder] = field(factory=lambda: Mailbox("agent", 4096))
    _acknowledged_sequence: int = 0
    _last_end_sequence: int = 0
    _instance_clock_ms: int = 0
    _instance_clock_read_at: dt.datetime | None = None
    #: When the lease expiry of the last start or listing was computed.
    _leases_extended_at: dt.datetime | None = None
    _is_answering: bool = False
    #: Stops without an answer, which are repeated.
    _stops: set[StopRun] = field(factory=set)
    #: The latest order on pace without an answer, by task and number of the run.
    _paces: dict[tuple[TaskKey, int], PaceRun] = field(factory=dict)
    _is_stopped: bool = False
    #: Wait of the listing under way, its number, and the instance's clock in ms in the
    #: answer that has overtaken it.
    _wait: dt.timedelta = dt.timedelta()
    _listing_number: int = 0
    _overtaken_ms: int = 0
    #: Fired when all ends listed so far are acknowledged.
    _acknowledgement: Deferred[None] | None = None
    _deferreds: t.Any = None

    @property
    def identity(self) -> str:
        """Name that is unique to the incarnation that is called."""
        return self.client.instance.identity

    def start(self) -> None:
        """Start to process orders and to poll listings."""
        self._deferreds = (spawn(self._handle_orders()), spawn(self._poll_listings()))

    def stop(self) -> None:
        """Stop the task; orders already sent may still take effect."""
        self._is_stopped = True
        for deferred in self._deferreds or ():
            deferred.cancel()

    async def _handle_orders(self) -> None:
        while not self._is_stopped:
            order = await self.mailbox.get()
            match order:
                case StartRun():
                    spawn(self._send_start(order))
                case StopRun():
                    self._start_stop(order)
                case PaceRun():
                    spawn(self._send_pace(order))
                case Acknowledge(sequence):
                    self._acknowledge(sequence)
                case SetFence(fence):
                    self.fence = max(self.fence, fence)
                case AnswerWanted():
                    if self._wait > SHORT_LISTING_WAIT and self.may_act():
                        spawn(self._overtake_listing())

    async def _poll_listings(self) -> None:
        wait = dt.timedelta()
        while not self._is_stopped:
            if not self.may_act():
                if not self.may_ask():
                    await sleep(self.clock, RETRY_PAUSE)
                    continue
                # The answer is wanted at once.
                wait = dt.timedelta()
            sent_at, fence = self.clock.now(), self.fence
            self._listing_number += 1
            self._wait, self._overtaken_ms = wait, 0
            try:
                listing = await self._request_listing(wait)
            except WorkerError as exc:
                self._report_error(exc, fence)
                await sleep(self.clock, RETRY_PAUSE)
                wait = dt.timedelta()
                continue
            finally:
                self._wait = dt.timedelta()
            wait = SHORT_LISTING_WAIT if self.needs_answers() else LISTING_WAIT
            if listing.clock_ms < self._overtaken_ms:
                continue
            has_new_end = self._report_listing(listing, sent_at, fence)
            if self._last_end_sequence > self._acknowledged_sequence:
                await self._await_acknowledgement()
            elif (
                not has_new_end and self.clock.now() - sent_at < UNCHANGED_LISTING_DELAY
            ):
                await sleep(self.clock, UNCHANGED_LISTING_DELAY)

    async def _overtake_listing(self) -> None:
        """List the instance once more while it delays the answer to a listing."""
        sent_at, fence, number = self.clock.now(), self.fence, self._listing_number
        try:
            listing = await self._request_listing(dt.timedelta())
        except WorkerError:
            # The listing under way tells whether the instance still answers.
            return
        if not self._is_stopped and number == self._listing_number and self._wait:
            self._overtaken_ms = listing.clock_ms
            self._report_listing(listing, sent_at, fence)

    async def _await_acknowledgement(self) -> None:
        """Wait until all listed ends are acknowledged, but not for long."""
        self._acknowledgement = Deferred()
        # The timer fires it with a result, so that no error has to be handled.
        pending = self._acknowledgement
        timer = self.clock.call_later(
            UNCHANGED_LISTING_DELAY, lambda: pending.callback(None)
        )
        try:
            await pending
        finally:
            self._acknowledgement = None
            if timer.active():
                timer.cancel()

    def _acknowledge(self, sequence: int) -> None:
        self._acknowledged_sequence = max(self._acknowledged_sequence, sequence)
        is_complete = self._acknowledged_sequence >= self._last_end_sequence
        pending = self._acknowledgement
        if is_complete and pending is not None and not pending.called:
            pending.callback(None)

    async def _request_listing(self, wait: dt.timedelta) -> Listing:
        # An instance whose answers are lost may still receive calls. Its leases are
        # not extended, so that the time of their expiry stays known.
        may_extend = self._is_answering and self.may_renew() and self.may_act()
        lease_until_ms = self._extend_leases() if may_extend else 0
        listing = await self.client.renew_and_list(
            self.fence, self._acknowledged_sequence, lease_until_ms, wait, CALL_TIMEOUT
        )
        self._is_answering = True
        return listing

    def _extend_leases(self) -> int:
        """Return the expiry of a new lease in ms on the instance's clock.

        Returns 0 if that clock has not been read yet.
        """
        if self._instance_clock_read_at is None:
            return 0
        self._leases_extended_at = self.clock.now()
        until_expiry = (
            self._leases_extended_at - self._instance_clock_read_at + self.lease
        )
        return self._instance_clock_ms + int(
            until_expiry / dt.timedelta(milliseconds=1)
        )

    def _lease_bound(self) -> dt.datetime | None:
        """Return the latest expiry of all leases requested so far."""
        if self._leases_extended_at is None:
            return None
        return latest_lease_expiry(self._leases_extended_at, self.lease)

    def _report_failed_call(self, reason: str) -> None:
        self._is_answering = False
        self.report(CallFailed(self.identity, reason, self._lease_bound()))

    def _report_listing(
        self, listing: Listing, sent_at: dt.datetime, fence: int
    ) -> bool:
        """Report a listing; return whether it contains a new end."""
        self._instance_clock_ms, self._instance_clock_read_at = (
            listing.clock_ms,
            self.clock.now(),
        )
        self.report(
            ListingReceived(self.identity, listing, sent_at, self._lease_bound(), fence)
        )
        last = listing.ended[-1].sequence if listing.ended else 0
        has_new_end, self._last_end_sequence = (
            last > self._last_end_sequence,
            max(last, self._last_end_sequence),
        )
        return has_new_end

    def _report_refused_fence(self, fence: int) -> None:
        """Report a refused fence unless a higher one has replaced it since."""
        if fence == self.fence:
            self.report(FenceRefused(self.identity, fence))

    def _report_restart(self, exc: WorkerRestartedError) -> None:
        """Report the next incarnation, and send it nothing meant for this one."""
        self.report(InstanceRestarted(self.identity, exc.incarnation))
        self._is_stopped = True

    def _report_error(self, exc: WorkerError, fence: int) -> None:
        if isinstance(exc, WorkerRestartedError):
            self._report_restart(exc)
            return
        if isinstance(exc, WorkerRefusedError):
            if exc.reason == RefusalReason.FENCED.value:
                self._report_refused_fence(fence)
                return
            if exc.reason == RefusalReason.OTHER_INCARNATION.value:
                self.report(InstanceRestarted(self.identity))
                return
        self._report_failed_call(exc.message)

    async def _send_start(self, order: StartRun) -> None:
        """Send a start until it is answered, at most ``MAX_START_ATTEMPTS`` times.

        A start without an answer may be carried out later, also after a repetition
        was refused, so only a stop settles it.
        """
        refusal: RefusalReason | None = None
        is_uncertain = False
        lease_until_ms = self._extend_leases()
        for _ in range(MAX_START_ATTEMPTS):
            if not self.may_act() or self._is_stopped:
                break
            fence = self.fence
            try:
                await self.client.start(order, lease_until_ms, fence, CALL_TIMEOUT)
            except WorkerRefusedError as exc:
                refusal = RefusalReason(exc.reason)
            except WorkerRestartedError as exc:
                self._report_restart(exc)
                break
            except WorkerUnreachableError as exc:
                is_uncertain |= not isinstance(exc, WorkerNotReachedError)
                self._report_failed_call(exc.message)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            if refusal is RefusalReason.FENCED:
                self._report_refused_fence(fence)
                if fence != self.fence:
                    refusal = None
                    continue
                return
            if is_uncertain and refusal not in (None, RefusalReason.STALE):
                # The refusal says nothing about the attempt without an answer.
                break
            self.report(
                StartAnswered(
                    self.identity, order.task, order.number, refusal, not is_uncertain
                )
            )
            return
        self.report(StartUnanswered(self.identity, order.task, order.number))

    def _start_stop(self, order: StopRun) -> None:
        """Send a stop, unless it is being repeated already."""
        if order in self._stops:
            return
        self._stops.add(order)
        spawn(self._send_stop(order)).addBoth(lambda _: self._stops.discard(order))

    async def _send_stop(self, order: StopRun) -> None:
        """Repeat a stop until it is answered or this task is stopped."""
        while not self._is_stopped:
            fence = self.fence
            try:
                await self.client.stop(order, fence, CALL_TIMEOUT)
            except WorkerUnreachableError:
                await sleep(self.clock, RETRY_PAUSE * 2)
                continue
            except WorkerRestartedError as exc:
                self._report_restart(exc)
                return
            except WorkerRefusedError as exc:
                if exc.reason == RefusalReason.FENCED.value:
                    self._report_refused_fence(fence)
                    if fence != self.fence:
                        continue
                    return
                if exc.reason == RefusalReason.UNHEALTHY.value:
                    await sleep(self.clock, RETRY_PAUSE * 2)
                    continue
            self.report(StopAnswered(self.identity, order.task, order.number))
            return

    async def _send_pace(self, order: PaceRun) -> None:
        """Repeat an order on pace until it is answered or a later one follows.

        Listings don't tell the pace, so that nothing else would show the loss.
        """
        identity = (order.task, order.number)
        self._paces[identity] = order
        is_repetition = False
        while not self._is_stopped and self._paces.get(identity) is order:
            if not self.may_act():
                await sleep(self.clock, RETRY_PAUSE * 2)
                continue
            fence = self.fence
            try:
                await self.client.set_pace(order, fence, CALL_TIMEOUT)
            except WorkerError as exc:
                may_succeed_later = _may_succeed_later(exc)
                if not (is_repetition and may_succeed_later):
                    self._report_error(exc, fence)
                if may_succeed_later or fence != self.fence:
                    is_repetition = True
                    await sleep(self.clock, RETRY_PAUSE * 2)
                    continue
            break
        if self._paces.get(identity) is order:
            del self._paces[identity]


def _may_succeed_later(exc: WorkerError) -> bool:
    """Whether a call that failed so is worth a repetition to the same incarnation."""
    if isinstance(exc, WorkerRefusedError):
        return exc.reason == RefusalReason.UNHEALTHY.value
    return isinstance(exc, WorkerUnreachableError)
