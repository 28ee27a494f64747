"""Whether a node knows all places where streams of a host have begun until now."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass

from railsail.core.clock import Clock
from railsail.streams.history import OriginHistory
from railsail.streams.latest import LatestPlaces
from railsail.streams.reader import LatestPlacesReader
from railsail.streams.stored import Place

# Maximum wait for a configuration that the store has and this node has not applied yet.
CONFIGURATION_SECONDS = 0.3


class Uncertainty(enum.StrEnum):
    """Why it is not certain where a stream without a record began."""

    NO_ORIGIN = "no-origin"
    SEVERAL_ORIGINS = "several-origins"
    STORE_NOT_READ = "store-not-read"
    HISTORY_INCOMPLETE = "history-incomplete"
    CONFIGURATION_OUTDATED = "configuration-outdated"


@dataclass(frozen=True)
class Certainty:
    """``node`` knows all places where streams of a host have begun until ``read_at``.

    The time is ``None`` for a peer, which has read the store after it was asked. ``stored`` are
    places in the store that may be in the history of other nodes only.
    """

    node: str
    read_at: float | None = None
    stored: frozenset[Place] = frozenset()


class CertaintyCheck:
    """Finds out from the store whether ``history`` lacks a place, and adds what it lacks.

    ``on_place`` is called when a place was added.
    """

    def __init__(
        self,
        own_node: str,
        history: OriginHistory,
        reader: LatestPlacesReader,
        on_place: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._own_node = own_node
        self._history = history
        self._reader = reader
        self._on_place = on_place
        self._clock = clock
        self._configuration = 0
        # Set and replaced with each new version of the configuration.
        self._configured = asyncio.Event()

    def configured(self, version: int) -> None:
        """Record that this node has applied ``version`` of the configuration."""
        self._configuration = version
        self._configured.set()
        self._configured = asyncio.Event()

    async def run(self, host: str) -> Certainty | Uncertainty:
        """Return whether all places where streams of ``host`` began until now are known.

        These include the places that the store has and this node has not received.
        """
        if not self._is_complete(host):
            return Uncertainty.HISTORY_INCOMPLETE
        places = await self._reader.read()
        if not isinstance(places, LatestPlaces):
            if places.history_lost:
                self._history.interrupt(self._clock.monotonic())
            return Uncertainty.STORE_NOT_READ
        if self._history.add_versions(places.versions, self._clock.monotonic()):
            self._on_place()
        if not await self._until_configured(places.configuration):
            return Uncertainty.CONFIGURATION_OUTDATED
        if not self._is_complete(host):
            return Uncertainty.HISTORY_INCOMPLETE
        return Certainty(self._own_node, places.read_at, places.stored)

    def _is_complete(self, host: str) -> bool:
        return self._history.is_complete(host.lower(), self._clock.monotonic())

    async def _until_configured(self, version: int) -> bool:
        """Return True as soon as this node has ``version`` of the configuration, or a later one."""
        try:
            async with asyncio.timeout(CONFIGURATION_SECONDS):
                while self._configuration < version:
                    await self._configured.wait()
        except TimeoutError:
            return False
        return True
