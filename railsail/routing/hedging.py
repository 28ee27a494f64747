"""Hedge an attempt whose replica fell silent: keep it until another one holds.

A sound replica may fall silent for a second or so and go on, which cannot be told from one that is
gone. Ending the attempt first would give up an answer that may be complete a moment later, while
another attempt may not be allowed, find no replica with room, or fall silent too. Therefore the
attempt ends only once another one has begun to answer, or has been at work for ``OVERLAP_SECONDS``.
If the silent replica goes on first, the other attempt ends.
Source: Dean and Barroso, "The Tail at Scale", 2013.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Coroutine

from railsail.core.outcomes import Completed, Outcome
from railsail.core.pauses import Pauses
from railsail.dispatch.bookings import Booking
from railsail.routing.answer import ReplicaAnswer
from railsail.routing.context import RoutingContext
from railsail.routing.silences import SilenceEnd, Silences

# Two replicas are at work on one request for at most this long.
OVERLAP_SECONDS = 0.3


class _Progress(enum.Enum):
    """What an attempt that was waited for has done."""

    ENDED = enum.auto()
    SILENT = enum.auto()


class Attempt:
    """One attempt of a request, at the replica that ``booking`` was granted.

    ``answer`` receives its answer, ``None`` before there is one to expect. ``sent`` is done once
    the request is sent, and ``went_on`` at the next piece of a good answer. ``fell_silent`` is True
    while its replica is silent. ``superseded_by`` is the attempt whose answer the caller gets
    instead.
    """

    def __init__(self, booking: Booking, attempts: "HedgedAttempts") -> None:
        self.booking = booking
        self.replica = booking.replica
        self.fell_silent = False
        self.superseded_by: Attempt | None = None
        self._attempts = attempts
        self.answer: ReplicaAnswer | None = None
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
    def failed(self) -> bool:
        """Return True if it has ended without a complete answer."""
        if not self.task.done():
            return False
        return self.task.cancelled() or not isinstance(self.task.result(), Completed)

    def start(self, work: Coroutine[None, None, Outcome]) -> None:
        """Run ``work``, which makes the attempt."""
        self.task = asyncio.ensure_future(work)

    def connected(self) -> None:
        """Record that there is a connection, on which the request is sent now."""
        self.sent.set_result(None)

    def go_on(self) -> None:
        """Record a piece, or the end, of a good answer: the caller gets the answer of this attempt.

        The other attempt of the request is ended before it can pass on anything more.
        """
        self._attempts.supersede_others(self)
        self.fell_silent = False
        if not self.went_on.done():
            self.went_on.set_result(None)

    def fall_silent(self) -> None:
        """Record that the replica is silent; ``went_on`` is for what it sends from now on."""
        self.fell_silent = True
        self.went_on = asyncio.get_running_loop().create_future()

    def supersede(self, other: "Attempt") -> None:
        """End this attempt in favour of ``other``."""
        if not self.task.done():
            self.superseded_by = other
            self.task.cancel()


class HedgedAttempts:
    """The attempts of one request that run at the same time: one, or two while one is silent.

    ``send`` makes an attempt and returns its outcome; it ends the attempt with an outcome also if
    that is superseded. ``find_replacement`` waits until another attempt may be made, and returns
    its granted booking; it is cancelled if the silence ends first. ``withdraw`` returns a booking
    that was not used.
    """

    def __init__(
        self,
        context: RoutingContext,
        send: Callable[[Attempt], Coroutine[None, None, Outcome]],
        find_replacement: Callable[[str], Awaitable[Booking]],
        withdraw: Callable[[Booking], None],
        silences: Silences,
        pauses: Pauses,
    ) -> None:
        self._context = context
        self._send = send
        self._find_replacement = find_replacement
        self._withdraw = withdraw
        self._silences = silences
        self._pauses = pauses
        self._started: list[Attempt] = []
        # The attempt that may replace the silent one.
        self._replacement: Attempt | None = None

    async def run(self, booking: Booking) -> Outcome:
        """Make an attempt with ``booking``, replace it if need be, and return the last outcome."""
        attempt = self._start(booking)
        try:
            while await self._watch(attempt) is _Progress.SILENT:
                attempt = await self._hedge(attempt)
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
                other.supersede(attempt)

    async def _watch(self, attempt: Attempt) -> _Progress:
        """Wait until ``attempt`` ends or its replica is silent."""
        loop = asyncio.get_running_loop()
        while not attempt.task.done():
            if not self._context.can_retry:
                # Nothing can replace it, however long its replica is silent.
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
        search = asyncio.ensure_future(self._replace(silent))
        end = SilenceEnd.CALLER_LEFT
        try:
            await _wait_for_first(silent.task, silent.went_on, search)
            end = _end_of_silence(silent, search)
            if end is SilenceEnd.REPLACED and search.done():
                silent.supersede(search.result())
        finally:
            search.cancel()
            silence.ended(end)
        if end is SilenceEnd.WENT_ON:
            self._context.give_up_reason = ""
            return silent
        return self._replacement or silent

    async def _replace(self, silent: Attempt) -> Attempt:
        """Return another attempt once it has begun to answer, or has been at work for a while."""
        while True:
            self._replacement = None
            replacement = self._start(await self._find_replacement(silent.replica))
            self._replacement = replacement
            await _wait_for_first(replacement.task, replacement.sent)
            await _wait_for_first(replacement.task, replacement.went_on, timeout=OVERLAP_SECONDS)
            if not replacement.failed:
                return replacement
            self._silences.replacement_failed(self._context, replacement.replica)


def _end_of_silence(silent: Attempt, search: asyncio.Future) -> SilenceEnd:
    if silent.went_on.done():
        return SilenceEnd.WENT_ON
    if search.done() or silent.superseded_by:
        return SilenceEnd.REPLACED
    return SilenceEnd.FAILED


async def _wait_for_first(*futures: asyncio.Future, timeout: float | None = None) -> None:
    await asyncio.wait(futures, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
