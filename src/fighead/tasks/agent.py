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
from .repeated_call import RETRY_PAUSE, RepeatBudget, call_repeatedly

T = t.TypeVar("T")

#: How long an instance may delay a listing until a run ends. Leases are renewed
#: at least this often while the instance answers.
LISTING_WAIT = dt.timedelta(milliseconds=1000)
#: The same while instances must confirm the leader in the store's place. Two listings
#: fit into the time for which a confirmation counts.
SHORT_LISTING_WAIT = dt.timedelta(milliseconds=300)
#: Time after which a call counts as unanswered, not counting the listing wait.
CALL_TIMEOUT = dt.timedelta(milliseconds=800)
#: The same for a repeated call at least, which otherwise ends with the first one.
MIN_CALL_TIMEOUT = dt.timedelta(milliseconds=250)
#: Delay after which a call without an answer is sent once more beside it. Whether an
#: instance answers one call tells little about the next.
REPEAT_DELAY = dt.timedelta(milliseconds=300)
#: Number of times a start is sent at most; if none is answered, the run is stopped.
MAX_START_ATTEMPTS = 3
#: Number of pauses in which these attempts are made, and of those between two.
TICKS_PER_START = REPEAT_DELAY // RETRY_PAUSE
START_TICKS = TICKS_PER_START * (MAX_START_ATTEMPTS - 1) + 1
#: The same for attempts that all fail at once.
MAX_FAILED_STARTS = 2
#: Number of repeated starts under way at one instance. One that is slow, or an entry
#: that is, must not get several times as many calls for that.
MAX_REPEATED_STARTS = 4
#: Time of the latest answer from which on an overdue call tells nothing: the instance,
#: or this entry, takes that long.
SLOW_ANSWER_TIME = dt.timedelta(milliseconds=175)
#: When an overdue listing is repeated, from the time at which its answer was due.
LISTING_REPEATS = (dt.timedelta(milliseconds=250), dt.timedelta(milliseconds=500))
#: Silence after which calls are no longer repeated before they fail.
MAX_REPEATING_SILENCE = dt.timedelta(seconds=4)
#: When a stop without an answer is repeated, and the pause before each later attempt.
STOP_REPEATS: tuple[dt.timedelta, ...] = (REPEAT_DELAY, 2 * REPEAT_DELAY)
STOP_PAUSE = dt.timedelta(milliseconds=600)
#: Number of listings that check whether an instance still answers.
MAX_CHECKS = 2
#: Delay of the listing that shows what has become of a run whose start had no answer.
SETTLING_PAUSE = dt.timedelta(milliseconds=20)
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
class CallLost:
    """A call was sent and got no answer; the instance may have answered others."""

    identity: str


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
    :param repeated_after: Time between the first attempt and the answered one.
    """

    identity: str
    task: TaskKey
    number: int
    refusal: RefusalReason | None
    is_certain: bool = False
    repeated_after: dt.timedelta = dt.timedelta()


@frozen
class StartCertain:
    """Each attempt at a start has been answered since its first answer."""

    identity: str
    task: TaskKey
    number: int


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


@define(eq=False)
class _StartAttempts:
    """The attempts to start one run.

    :param sent: Number of attempts so far.
    :param under_way: Number of those that have neither been answered nor failed.
    :param is_uncertain: Whether one failed that the instance may still carry out.
    :param is_over: Whether no attempt follows.
    :param is_settled: Whether the instance has answered that it has started the run.
    :param refusal: The answer otherwise, or that the run has ended since.
    :param first_sent_at: When the first attempt was made.
    :param repeated_after: Time between that one and the one whose answer counts.
    :param is_answer_reported: Whether that it is settled has been reported.
    :param is_reported: Whether nothing is left to report.
    """

    sent: int = 0
    under_way: int = 0
    is_uncertain: bool = False
    is_over: bool = False
    is_settled: bool = False
    refusal: RefusalReason | None = None
    first_sent_at: dt.datetime | None = None
    repeated_after: dt.timedelta = dt.timedelta()
    is_answer_reported: bool = False
    is_reported: bool = False

    def note_answer(self, refusal: RefusalReason | None, sent_at: dt.datetime) -> None:
        """Take an answer into account; the first that settles the start counts.

        :param sent_at: When the attempt was made that was answered.
        """
        self.is_over = True
        if not self.is_settled:
            self.refusal = refusal
            self.is_settled = refusal in (None, RefusalReason.STALE)
            self.repeated_after = sent_at - (self.first_sent_at or sent_at)


AgentReport = (
    ListingReceived
    | CallFailed
    | CallLost
    | InstanceRestarted
    | FenceRefused
    | StartAnswered
    | StartCertain
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
    :param repeats: The repeated starts of all agents of the entry.
    :param may_start: Whether runs may be started at the instance, beside ``may_act``.
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
    repeats: RepeatBudget = field(factory=RepeatBudget)
    may_start: t.Callable[[], bool] = lambda: True
    mailbox: Mailbox[AgentOrder] = field(factory=lambda: Mailbox("agent", 4096))
    _acknowledged_sequence: int = 0
    _last_end_sequence: int = 0
    _instance_clock_ms: int = 0
    _instance_clock_read_at: dt.datetime | None = None
    #: When the lease expiry of the last start or listing was computed.
    _leases_extended_at: dt.datetime | None = None
    #: The expiry sent last, in ms on the instance's clock.
    _lease_until_ms: int = 0
    _is_answering: bool = False
    #: When the latest answer was received, to any call and to a listing.
    _answered_at: dt.datetime | None = None
    _listed_at: dt.datetime | None = None
    #: How long the latest answer took that the instance had no reason to delay.
    _answer_time: dt.timedelta = dt.timedelta()
    #: Number of repeated starts under way.
    _repeated_starts: int = 0
    #: Runs whose start got no answer, until their stop is answered.
    _unsettled: set[tuple[TaskKey, int]] = field(factory=set)
    _is_checking: bool = False
    _must_list: bool = False
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
                        spawn(self._overtake_listing(self._next_expiry()))

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
                listing, sent_at = await self._list_repeatedly(wait)
            except WorkerError as exc:
                self._report_error(exc, fence, sent_at, self._listed_at)
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

    async def _list_repeatedly(self, wait: dt.timedelta) -> tuple[Listing, dt.datetime]:
        """List the instance, and again without a wait while the answer is overdue.

        Return the first answer and when it was requested. The repetitions carry the
        same expiry, so that they don't prolong the leases on an instance that is lost.

        :raises WorkerError: If no attempt was answered within ``CALL_TIMEOUT`` after
            the wait.
        """
        lease_until_ms = self._next_expiry()
        due_at, waits = self.clock.now() + wait, iter((wait,))

        async def attempt() -> tuple[Listing, dt.datetime]:
            sent_at = self.clock.now()
            own_wait = next(waits, dt.timedelta())
            left = max(due_at + CALL_TIMEOUT - sent_at - own_wait, MIN_CALL_TIMEOUT)
            listing = await self._request_listing(own_wait, lease_until_ms, left)
            return listing, sent_at

        delays = [wait + delay for delay in LISTING_REPEATS]
        return await call_repeatedly(self.clock, attempt, delays, self._may_repeat)

    async def _overtake_listing(self, lease_until_ms: int) -> bool:
        """List the instance once more while it delays the answer to a listing.

        Return whether it answered.
        """
        sent_at, fence, number = self.clock.now(), self.fence, self._listing_number
        try:
            listing = await self._request_listing(dt.timedelta(), lease_until_ms)
        except WorkerError:
            # The listing under way tells whether the instance still answers.
            return False
        if not self._is_stopped and number == self._listing_number and self._wait:
            self._overtaken_ms = listing.clock_ms
            self._report_listing(listing, sent_at, fence)
        return True

    async def _check(self) -> None:
        """List the instance beside a delayed listing, and again without an answer.

        The expiry of the leases is the one that was sent last.
        """
        if self._is_checking or not self._wait:
            return
        self._is_checking = True
        answers: list[bool] = []

        async def attempt() -> None:
            may_renew = self.may_renew() and self.may_act()
            expiry = self._lease_until_ms if may_renew else 0
            answers.append(await self._overtake_listing(expiry))

        try:
            for _ in range(MAX_CHECKS):
                if any(answers) or self._is_stopped or not self.may_act():
                    break
                spawn(attempt())
                await sleep(self.clock, REPEAT_DELAY)
        finally:
            self._is_checking = False

    async def _call_and_check(self, call: t.Awaitable[T]) -> T:
        """Await the answer to a call; check the instance if it is overdue."""
        timer = self.clock.call_later(REPEAT_DELAY, lambda: spawn(self._check()))
        sent_at = self.clock.now()
        try:
            result = await call
        except (WorkerRefusedError, WorkerRestartedError):
            self._note_answer(sent_at)
            raise
        finally:
            if timer.active():
                timer.cancel()
        self._note_answer(sent_at)
        return result

    def _note_answer(self, sent_at: dt.datetime) -> None:
        self._answered_at = self.clock.now()
        self._answer_time = self._answered_at - sent_at

    def _may_repeat(self) -> bool:
        """Whether calls may be repeated before they fail."""
        at = self._answered_at
        return (
            at is not None
            and self.clock.now() - at < MAX_REPEATING_SILENCE
            and self._answer_time < SLOW_ANSWER_TIME
            and self.may_act()
        )

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

    async def _request_listing(
        self,
        wait: dt.timedelta,
        lease_until_ms: int,
        timeout: dt.timedelta = CALL_TIMEOUT,
    ) -> Listing:
        sent_at = self.clock.now()
        try:
            listing = await self.client.renew_and_list(
                self.fence, self._acknowledged_sequence, lease_until_ms, wait, timeout
            )
        except WorkerUnreachableError as exc:
            self._report_lost_call(exc)
            raise
        self._is_answering = True
        self._answered_at = self._listed_at = self.clock.now()
        if not wait:
            self._answer_time = self._answered_at - sent_at
        return listing

    def _next_expiry(self) -> int:
        """Return the expiry to send with a listing; 0 to leave the leases unchanged.

        An instance whose answers are lost may still receive calls. It gets the expiry
        that was sent last, so that the time at which its leases end stays known.
        """
        if not (self.may_renew() and self.may_act()):
            return 0
        return self._extend_leases() if self._is_answering else self._lease_until_ms

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
        self._lease_until_ms = self._instance_clock_ms + int(
            until_expiry / dt.timedelta(milliseconds=1)
        )
        return self._lease_until_ms

    def _lease_bound(self) -> dt.datetime | None:
        """Return the latest expiry of all leases requested so far."""
        if self._leases_extended_at is None:
            return None
        return latest_lease_expiry(self._leases_extended_at, self.lease)

    def _report_failed_call(
        self, reason: str, sent_at: dt.datetime, answered_at: dt.datetime | None
    ) -> None:
        """Report a failed call, unless the instance has answered another one since.

        :param answered_at: When the latest answer that counts was received.
        """
        now = self.clock.now()
        if answered_at is not None and answered_at > max(sent_at, now - CALL_TIMEOUT):
            return
        self._is_answering = False
        self.report(CallFailed(self.identity, reason, self._lease_bound()))

    def _report_lost_call(self, exc: WorkerUnreachableError) -> None:
        if not isinstance(exc, WorkerNotReachedError):
            self.report(CallLost(self.identity))

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

    def _report_error(
        self,
        exc: WorkerError,
        fence: int,
        sent_at: dt.datetime,
        answered_at: dt.datetime | None,
    ) -> None:
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
        self._report_failed_call(exc.message, sent_at, answered_at)

    async def _send_start(self, order: StartRun) -> None:
        """Send a start until it is answered, at most ``MAX_START_ATTEMPTS`` times.

        An attempt that is overdue is repeated before it fails. A start without an
        answer may be carried out later, also after a repetition was refused, so only a
        stop settles it.
        """
        lease_until_ms = self._extend_leases()
        attempts = _StartAttempts()
        for tick in range(START_TICKS):
            if not self.may_act() or self._is_stopped:
                break
            if not self.may_start():
                if not attempts.sent:
                    attempts.refusal = RefusalReason.EVACUATED
                break
            has_failed = attempts.sent > 0 and not attempts.under_way
            if has_failed and attempts.sent >= MAX_FAILED_STARTS:
                break
            is_due = tick % TICKS_PER_START == 0 and self._may_repeat_start(attempts)
            if has_failed or is_due:
                spawn(self._attempt_start(order, lease_until_ms, attempts))
            if attempts.is_over:
                break
            await sleep(self.clock, RETRY_PAUSE)
            if attempts.is_over:
                break
        attempts.is_over = True
        self._conclude_start(order, attempts)

    def _may_repeat_start(self, attempts: _StartAttempts) -> bool:
        return not attempts.sent or (
            self._repeated_starts < MAX_REPEATED_STARTS
            and self.repeats.has_room
            and self._may_repeat()
        )

    async def _attempt_start(
        self, order: StartRun, lease_until_ms: int, attempts: _StartAttempts
    ) -> None:
        is_repetition = attempts.sent > 0
        sent_at, fence = self.clock.now(), self.fence
        attempts.first_sent_at = attempts.first_sent_at or sent_at
        attempts.sent += 1
        attempts.under_way += 1
        self._repeated_starts += is_repetition
        self.repeats.under_way += is_repetition
        try:
            await self._call_and_check(
                self.client.start(order, lease_until_ms, fence, CALL_TIMEOUT)
            )
            attempts.note_answer(None, sent_at)
        except WorkerRefusedError as exc:
            refusal = RefusalReason(exc.reason)
            if refusal is not RefusalReason.FENCED:
                attempts.note_answer(refusal, sent_at)
            else:
                self._report_refused_fence(fence)
                # Otherwise the next attempt carries the fence that has replaced it.
                if fence == self.fence:
                    attempts.is_over = attempts.is_reported = True
        except WorkerRestartedError as exc:
            attempts.is_uncertain = attempts.is_over = True
            self._report_restart(exc)
        except WorkerUnreachableError as exc:
            attempts.is_uncertain |= not isinstance(exc, WorkerNotReachedError)
            self._report_lost_call(exc)
            self._report_failed_call(exc.message, sent_at, self._answered_at)
        finally:
            attempts.under_way -= 1
            self._repeated_starts -= is_repetition
            self.repeats.under_way -= is_repetition
        self._conclude_start(order, attempts)

    def _conclude_start(self, order: StartRun, attempts: _StartAttempts) -> None:
        """Report the result of a start once it is known.

        A refusal counts once no attempt is under way that may yet be carried out. A
        start that is answered before all attempts are is reported again after that.
        """
        if attempts.is_reported:
            return
        task, number = order.task, order.number
        is_certain = not (attempts.under_way or attempts.is_uncertain)
        if attempts.is_settled:
            attempts.is_reported = not attempts.under_way
            if not attempts.is_answer_reported:
                attempts.is_answer_reported = True
                self._report_start_answer(order, attempts, is_certain)
            elif is_certain:
                self.report(StartCertain(self.identity, task, number))
        elif attempts.is_over and not attempts.under_way:
            attempts.is_reported = True
            if attempts.refusal is not None and is_certain:
                self._report_start_answer(order, attempts, is_certain)
            else:
                self._unsettled.add((task, number))
                self.report(StartUnanswered(self.identity, task, number))

    def _report_start_answer(
        self, order: StartRun, attempts: _StartAttempts, is_certain: bool
    ) -> None:
        self.report(
            StartAnswered(
                self.identity,
                order.task,
                order.number,
                attempts.refusal,
                is_certain,
                attempts.repeated_after,
            )
        )

    def _start_stop(self, order: StopRun) -> None:
        """Send a stop, unless it is being repeated already."""
        if order in self._stops:
            return
        self._stops.add(order)
        spawn(self._send_stop(order)).addBoth(lambda _: self._stops.discard(order))

    async def _send_stop(self, order: StopRun) -> None:
        """Repeat a stop until it is answered or this task is stopped."""
        fence, repeats = self.fence, STOP_REPEATS

        async def attempt() -> None:
            nonlocal fence
            fence = self.fence
            await self.client.stop(order, fence, CALL_TIMEOUT)

        while not self._is_stopped:
            try:
                await call_repeatedly(self.clock, attempt, repeats, self._may_repeat)
            except WorkerUnreachableError:
                repeats = ()
                await sleep(self.clock, STOP_PAUSE)
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
            if (order.task, order.number) in self._unsettled:
                self._unsettled.discard((order.task, order.number))
                self._list_soon()
            return

    def _list_soon(self) -> None:
        """List the instance once what was reported has been processed."""
        if not self._must_list:
            self._must_list = True
            self.clock.call_later(SETTLING_PAUSE, self._list_beside)

    def _list_beside(self) -> None:
        self._must_list = False
        if not self._is_stopped:
            spawn(self._check())

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
            sent_at, fence = self.clock.now(), self.fence
            try:
                await self._call_and_check(
                    self.client.set_pace(order, fence, CALL_TIMEOUT)
                )
            except WorkerError as exc:
                may_succeed_later = _may_succeed_later(exc)
                if not (is_repetition and may_succeed_later):
                    self._report_error(exc, fence, sent_at, self._answered_at)
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
