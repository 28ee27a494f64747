"""Hedge an attempt whose replica fell silent: keep it until another one has begun to answer.

A sound replica may fall silent for a second or so and go on, which cannot be told from one that is
gone. Ending the attempt first would give up an answer that may be complete a moment later, while
another attempt may not be allowed, find no replica with room, fail, or fall silent too. Therefore
the attempt ends only once another one has begun to answer or, in pools of model replicas, has been
at work for a moment. If the silent replica goes on first, the other attempt ends.
Source: Dean and Barroso, "The Tail at Scale", 2013.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Coroutine

from railsail.core.logs import get_logger
from railsail.core.outcomes import Completed, NotRun, Outcome, Unknown
from railsail.core.pauses import Pauses
from railsail.dispatch.bookings import Booking
from railsail.routing.answer import ReplicaAnswer
from railsail.routing.context import RoutingContext
from railsail.routing.silences import Silence, SilenceEnd, Silences

# The event loop handles what has already arrived within this time.
BACKLOG_SECONDS = 0.01
# Pause before the next look for an attempt that replaces a silent one.
REPLACEMENT_PAUSE_SECONDS = 0.25


class _Progress(enum.Enum):
    """What an attempt that was waited for has done."""

    ENDED = enum.auto()
    SILENT = enum.auto()


class Attempt:
    """One attempt of a request, at the replica that ``booking`` was granted.

    ``answer`` receives its answer; it is ``None`` until the request is about to be sent. ``sent``
    is done once the request is sent, and ``went_on`` once a part of the answer was passed on to the
    caller. ``received`` is True once the answer has been received completely, after which it only
    waits for the caller. ``fell_silent`` is True while its replica is silent. ``superseded_by`` is
    the attempt whose answer the caller gets instead.
    """

    def __init__(self, booking: Booking, attempts: "HedgedAttempts") -> None:
        self.booking = booking
        self.replica = booking.replica
        self.answer: ReplicaAnswer | None = None
        self.received = False
        self.fell_silent = False
        self.superseded_by: Attempt | None = None
        self._attempts = attempts
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        self.sent: asyncio.Future[None] = loop.create_future()
        self.went_on: asyncio.Future[None] = loop.create_future()
        self.task: asyncio.Task[Outcome] | None = None

    @property
    def progressed_at(self) -> float:
        """Return when the replica last sent anything, in seconds of the event loop."""
        return self.answer.progressed_at if self.answer else self._started_at

    @property
    def silent_seconds(self) -> float:
        """Return for how long the replica has sent nothing."""
        return asyncio.get_running_loop().time() - self.progressed_at

    @property
    def has_gone_on(self) -> bool:
        """Return True if the silence of the replica is over, or the attempt has ended."""
        return self.went_on.done() or self.task.done()

    @property
    def outcome(self) -> Outcome | None:
        """Return its outcome, ``None`` while it runs, or if it was cancelled or raised an error."""
        if not self.task.done() or self.task.cancelled() or self.task.exception() is not None:
            return None
        return self.task.result()

    @property
    def failed(self) -> bool:
        """Return True if it has ended without a complete answer."""
        return self.task.done() and not isinstance(self.outcome, Completed)

    @property
    def timed_out(self) -> bool:
        """Return True if it has ended because its deadline passed."""
        return isinstance(self.outcome, Unknown) and self.outcome.timed_out

    @property
    def has_rival(self) -> bool:
        """Return True if another attempt of the request is running."""
        return self._attempts.has_rival(self)

    def start(self, work: Coroutine[None, None, Outcome]) -> None:
        """Run ``work``, which makes the attempt."""
        self.task = asyncio.ensure_future(work)

    def connected(self) -> None:
        """Record that there is a connection, on which the request is sent now."""
        self.sent.set_result(None)

    def go_on(self) -> None:
        """Record that a part of the answer is about to be passed on to the caller.

        The other attempt of the request ends before it can pass on anything.
        """
        self._attempts.supersede_others(self)
        self.fell_silent = False
        if not self.went_on.done():
            self.went_on.set_result(None)

    def fall_silent(self) -> None:
        """Record that the replica is silent; ``went_on`` is for what it sends from now on."""
        self.fell_silent = True
        self.went_on = asyncio.get_running_loop().create_future()


class HedgedAttempts:
    """The attempts of one request that run at the same time: one, or two while one is silent.

    ``send`` makes an attempt and returns its outcome, also if the attempt is superseded.
    ``acquire_replacement`` waits for a replica for another attempt, which is none of those that it
    is passed, and returns why there is none now; it is cancelled if the silence ends first.
    ``withdraw`` returns a booking that was not used.
    """

    def __init__(
        self,
        context: RoutingContext,
        send: Callable[[Attempt], Coroutine[None, None, Outcome]],
        acquire_replacement: Callable[[frozenset[str]], Awaitable[Booking | NotRun]],
        withdraw: Callable[[Booking], None],
        silences: Silences,
        pauses: Pauses,
    ) -> None:
        self._context = context
        self._send = send
        self._acquire_replacement = acquire_replacement
        self._withdraw = withdraw
        self._silences = silences
        self._pauses = pauses
        self._started: list[Attempt] = []

    async def run(self, booking: Booking) -> Outcome:
        """Make an attempt with ``booking``, replace it if need be, and return the last outcome."""
        attempt = self._start(booking)
        try:
            while await self._watch(attempt) is _Progress.SILENT:
                attempt = await self._hedge(attempt)
            self._context.replica = attempt.replica
            return attempt.task.result()
        finally:
            for started in self._started:
                started.task.cancel()

    def _start(self, booking: Booking) -> Attempt:
        attempt = Attempt(booking, self)
        attempt.start(self._send(attempt))
        # A task that is cancelled before its first step does not release its booking.
        attempt.task.add_done_callback(lambda task: self._withdraw(booking))
        self._started.append(attempt)
        return attempt

    def supersede_others(self, attempt: Attempt) -> None:
        """End all attempts but ``attempt``."""
        for other in self._started:
            if other is not attempt:
                self._supersede(other, attempt)

    def _supersede(self, attempt: Attempt, other: Attempt) -> None:
        """End ``attempt`` in favour of ``other``."""
        if attempt.task.done():
            return
        if attempt.sent.done():
            self._context.may_have_run = True
        attempt.superseded_by = other
        attempt.task.cancel()

    def has_rival(self, attempt: Attempt) -> bool:
        """Return True if an attempt other than ``attempt`` is running."""
        others = (other for other in self._started if other is not attempt)
        return any(not other.task.done() and other.superseded_by is None for other in others)

    async def _watch(self, attempt: Attempt) -> _Progress:
        """Wait until ``attempt`` ends or its replica is silent."""
        loop = asyncio.get_running_loop()
        while not attempt.task.done():
            if attempt.received or not self._context.can_retry:
                # Nothing replaces it, however long it takes.
                await asyncio.wait([attempt.task])
                continue
            # While this process was paused, it could not receive anything from the replica.
            progressed_at = max(attempt.progressed_at, self._pauses.ended_at)
            remaining = progressed_at + self._context.silence_timeout - loop.time()
            if remaining <= 0:
                return _Progress.SILENT
            await asyncio.wait([attempt.task], timeout=remaining)
        return _Progress.ENDED

    async def _hedge(self, silent: Attempt) -> Attempt:
        """Wait for the end of a silence, or for an attempt that replaces ``silent``.

        Return the attempt that goes on, which may have ended.
        """
        silent.fall_silent()
        silence = self._silences.begin(self._context, silent.replica, silent.progressed_at)
        attempt = None
        try:
            while attempt is None:
                attempt = await self._try_replacement(silent, silence)
            return attempt
        finally:
            if attempt is silent:
                silent.fell_silent = False
            silence.ended(_end_of_silence(silent, attempt), attempt.replica if attempt else "")
            self._context.give_up_reason = ""

    async def _try_replacement(self, silent: Attempt, silence: Silence) -> Attempt | None:
        """Return the attempt that goes on, ``None`` if ``silent`` is still to be replaced."""
        second = await self._start_replacement(silent)
        if second is None:
            return silent
        attempt = await self._race(silent, second, silence)
        if attempt is None:
            self._silences.replacement_failed(self._context, second.replica)
            _log_exception(second)
            await _wait_for_first(silent.task, silent.went_on, timeout=REPLACEMENT_PAUSE_SECONDS)
        return attempt

    async def _start_replacement(self, silent: Attempt) -> Attempt | None:
        """Start another attempt, or return ``None`` if the silence ends before."""
        search = asyncio.ensure_future(self._search(silent))
        try:
            await _wait_for_first(silent.task, silent.went_on, search)
        finally:
            search.cancel()
        return search.result() if search.done() else None

    async def _search(self, silent: Attempt) -> Attempt | None:
        """Start an attempt at a replica that has not failed one; ``None`` if ``silent`` has ended.

        An error in the search must not end the silent attempt, which may go on.
        """
        failed = (attempt.replica for attempt in self._started if attempt.failed)
        tried = frozenset((silent.replica, *failed))
        while not silent.has_gone_on:
            booking = await self._acquire(tried)
            if booking is None:
                await asyncio.sleep(REPLACEMENT_PAUSE_SECONDS)
            elif silent.has_gone_on:
                self._withdraw(booking)
            else:
                return self._start(booking)
        return None

    async def _acquire(self, tried: frozenset[str]) -> Booking | None:
        """Return a booking at a replica that is not ``tried``, ``None`` if there is none now."""
        try:
            booking = await self._acquire_replacement(tried)
        except Exception:
            get_logger().exception("failed to find a replacement", request=self._context.request.id)
            return None
        if isinstance(booking, NotRun):
            self._context.give_up_reason = booking.detail
            return None
        return booking

    async def _race(self, silent: Attempt, second: Attempt, silence: Silence) -> Attempt | None:
        """Return the attempt that goes on, ``None`` if ``second`` failed while ``silent`` runs."""
        ends = (silent.task, silent.went_on, second.task)
        await _wait_for_first(*ends, second.sent)
        await _wait_for_first(*ends, second.went_on, timeout=self._context.max_overlap)
        # What arrived while this process was busy is handled before the decision.
        await _wait_for_first(*ends, second.went_on, timeout=BACKLOG_SECONDS)
        if silent.went_on.done():
            return silent
        if second.went_on.done():
            return second
        if silent.task.done():
            return silent if second.failed else second
        if second.task.done():
            return None
        if silent.progressed_at > silence.since:
            # The head or a part of an event has come, which is not passed on yet.
            self._supersede(second, silent)
            return silent
        self._supersede(silent, second)
        return second


def _end_of_silence(silent: Attempt, attempt: Attempt | None) -> SilenceEnd:
    """Return how a silence ended after which ``attempt`` goes on, ``None`` if the caller left."""
    if attempt is None:
        return SilenceEnd.CALLER_LEFT
    if attempt is not silent:
        return SilenceEnd.REPLACED
    if not silent.failed:
        return SilenceEnd.WENT_ON
    return SilenceEnd.DEADLINE if silent.timed_out else SilenceEnd.FAILED


def _log_exception(attempt: Attempt) -> None:
    if not attempt.task.cancelled() and attempt.task.exception() is not None:
        get_logger().error(
            "an attempt failed", replica=attempt.replica, exc_info=attempt.task.exception()
        )


async def _wait_for_first(*futures: asyncio.Future, timeout: float | None = None) -> None:
    await asyncio.wait(futures, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
