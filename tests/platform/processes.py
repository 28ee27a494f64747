"""Daemons as processes of their own on the platform's adapter, each with a port of the store.

The store, the replicas and the callers run in this process. What is done to a daemon is done from
outside: by a signal, or by what its port of the store answers.
"""

import asyncio
import math
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.relay import Relay
from railsail.standins.fleet import free_ports
from tests.platform.base import LONGEST_SECONDS, Answer, read_answer, request
from tests.platform.standins import (
    LOOPBACK,
    PlatformStoreStandin,
    ReplicaStandin,
    Script,
    StoreAccess,
    TurnedAway,
    answering,
)

ROOT = Path(__file__).parents[2]
LOOK_SECONDS = 0.05
SEEDS = 3
# A balancer notices within so long that a daemon is about to stop.
BALANCER_SECONDS = 1.0
# The settings of ``deploy/railsaild.conf``, as far as all daemons have them alike.
SHARED = {
    "store-kind": "prepared",
    "watch-seconds": "2",
    "node-list": "seeds",
    "network": "closed",
    "plugins": "railsail.platform",
    "caller-interface": "prepared",
    "scheduling": "fleet",
    "cell-replicas": "64",
    "fair-window-seconds": "4",
    "leave-seconds": "3",
    "drain-seconds": "8",
}


@dataclass
class Daemon:
    """One daemon, its port of the store, and where it logs."""

    ip: str
    ports: list[int]
    domain: str
    access: StoreAccess
    log: Path
    process: subprocess.Popen | None = None
    # Whether the process of now was, or is to be, killed.
    killed: bool = False
    # Where the sources of its build are.
    sources: Path = ROOT
    # Further settings, by flag.
    settings: dict[str, str] = field(default_factory=dict)
    # Where it listens for peers behind a relay, 0 for no relay.
    listen_port: int = 0
    # When it was started or went on after a pause, by the clock of the event loop.
    up_since: float = 0.0
    # When it was asked to stop, infinite where it was not.
    leaves_at: float = float("inf")
    # When the store began to answer it again.
    answered_since: float = 0.0
    # When it began to reach its peers again, infinite while it is cut from them.
    reached_since: float = 0.0

    @property
    def node(self) -> str:
        """Return the node id."""
        return f"{self.ip}:{self.ports[2]}"

    @property
    def running(self) -> bool:
        """Say whether the process is there."""
        return self.process is not None and self.process.poll() is None

    @property
    def served_since(self) -> float:
        """Return since when it has run and been answered by the store."""
        if self.access.turned_away is not None:
            return float("inf")
        return max(self.up_since, self.answered_since)

    @property
    def well_since(self) -> float:
        """Return since when it has run, been answered by the store and reached its peers."""
        return max(self.served_since, self.reached_since)

    def turn_away(self, how: TurnedAway) -> None:
        """Let the store turn its calls away."""
        self.access.turned_away = how

    def answer(self) -> None:
        """Let the store answer its calls again."""
        self.access.turned_away = None
        self.answered_since = asyncio.get_running_loop().time()

    def flags(self, seeds: list[str]) -> list[str]:
        """Return the flags with which it starts."""
        own = {
            "node-ip": self.ip,
            "caller-port": self.ports[0],
            "admin-port": self.ports[1],
            "peer-port": self.ports[2],
            "failure-domain": self.domain,
            "store": f"{LOOPBACK}:{self.access.port}",
            "seeds": ",".join(seeds),
            "listen-port": self.listen_port,
        }
        return [f"--{name}={value}" for name, value in (SHARED | own | self.settings).items()]


@dataclass
class MadeCall:
    """A call as it was made at ``daemon``; ``status`` is 0 until it was answered."""

    daemon: Daemon
    target: str
    well_since: float
    status: int = 0


@dataclass
class Silence:
    """A time in which a replica stood still; ``ended_at`` is infinite until it goes on."""

    replica: str
    began_at: float
    ended_at: float = math.inf

    def seconds_within(self, began_at: float, ended_at: float) -> float:
        """Return how much of the time between lies in the silence."""
        return max(0.0, min(self.ended_at, ended_at) - max(self.began_at, began_at))


@dataclass
class ProcessFleet:
    """A store, replicas and daemons; ``stop`` ends exactly those."""

    folder: Path
    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    replicas: list[ReplicaStandin] = field(default_factory=list)
    daemons: list[Daemon] = field(default_factory=list)
    # Settings that daemons have beside ``SHARED``, by flag.
    settings: dict[str, str] = field(default_factory=dict)
    # Between the daemons, where there is one.
    relay: Relay | None = None
    # All calls that were made, by request id.
    calls: dict[str, MadeCall] = field(default_factory=dict)
    # Failure domains and software versions of replicas, by name.
    zones: dict[str, str] = field(default_factory=dict)
    versions: dict[str, str] = field(default_factory=dict)
    # When a daemon was killed, asked to stop, paused or resumed.
    disturbed_at: list[float] = field(default_factory=list)
    # When replicas stood still.
    silences: list[Silence] = field(default_factory=list)
    replica_class: type[ReplicaStandin] = ReplicaStandin

    async def add_replica(
        self,
        script: Script | None = None,
        service: str = "desk",
        slots: int = 64,
        version: str = "",
        zone: str = "a",
    ) -> ReplicaStandin:
        """Start a replica of a software ``version`` in a failure domain, and list it."""
        replica = self.replica_class(f"i-{len(self.replicas)}", script or answering())
        await replica.start()
        self.replicas.append(replica)
        addr = f"{LOOPBACK}:{replica.port}"
        self.zones[replica.name] = zone
        self.versions[replica.name] = version
        spec = {"service": service, "addr": addr, "zone": zone, "slots": slots, "state": "ready"}
        if version:
            spec["version"] = version
        self.store.put("servers", replica.name, spec | {"seq": 1})
        return replica

    def remove_replica(self, replica: ReplicaStandin) -> None:
        """End a replica at once, as the platform does without a drain, and list it no more."""
        self.store.remove("servers", replica.name)
        replica.crash()

    def silence(self, replica: ReplicaStandin, seconds: float) -> None:
        """Let a replica stand still for ``seconds``, for good if they are infinite."""
        silence = Silence(replica.name, asyncio.get_running_loop().time())
        self.silences.append(silence)
        replica.pause()
        if math.isfinite(seconds):
            asyncio.get_running_loop().call_later(seconds, self._go_on, replica, silence)

    def _go_on(self, replica: ReplicaStandin, silence: Silence) -> None:
        silence.ended_at = asyncio.get_running_loop().time()
        replica.resume()

    async def add_daemons(
        self, count: int, domains: int, other: Path | None = None, sources: Path = ROOT
    ) -> None:
        """Start ``count`` daemons of ``sources`` in ``domains`` failure domains.

        Each other one is of ``other``, if given.
        """
        first = len(self.daemons)
        for number in range(first, first + count):
            ip = f"127.0.1.{10 + number}"
            domain = f"domain-{number % domains}"
            log = self.folder / f"{number}.log"
            ports = free_ports(4, ip)
            daemon = Daemon(ip, ports[:3], domain, self.store.add_access(), log)
            daemon.sources = other if other and number % 2 else sources
            daemon.settings = self.settings
            if self.relay is not None:
                daemon.listen_port = ports[3]
                await self.relay.listen(ip, ports[2], ports[3])
            self.daemons.append(daemon)
        for daemon in self.daemons[first:]:
            self.start(daemon)

    def start(self, daemon: Daemon) -> None:
        """Start a daemon, or start it again, if it does not run."""
        if daemon.running:
            return
        seeds = [each.node for each in self.daemons[:SEEDS]]
        with daemon.log.open("ab") as out:
            daemon.process = subprocess.Popen(
                [sys.executable, "-m", "railsail.daemon", *daemon.flags(seeds)],
                cwd=daemon.sources,
                env=os.environ | {"PYTHONPATH": str(daemon.sources)},
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        daemon.up_since = asyncio.get_running_loop().time()
        daemon.killed = False
        daemon.leaves_at = float("inf")

    def balanced(self) -> list[Daemon]:
        """Return the daemons to which a balancer sends callers, which looks now and then."""
        now = asyncio.get_running_loop().time()
        return [each for each in self.daemons if now - each.leaves_at < BALANCER_SECONDS]

    async def kill(self, daemon: Daemon) -> None:
        """Kill a daemon."""
        daemon.killed = True
        self._disturb()
        daemon.process.kill()
        await asyncio.to_thread(daemon.process.wait)

    async def end(self, daemon: Daemon) -> None:
        """Ask a daemon to stop, and wait until it has."""
        daemon.leaves_at = asyncio.get_running_loop().time()
        self._disturb()
        daemon.process.terminate()
        await asyncio.to_thread(daemon.process.wait)

    def pause(self, daemon: Daemon) -> None:
        """Let a daemon stand still."""
        self._disturb()
        daemon.process.send_signal(signal.SIGSTOP)
        daemon.up_since = float("inf")

    def resume(self, daemon: Daemon) -> None:
        """Let a daemon go on."""
        self._disturb()
        daemon.process.send_signal(signal.SIGCONT)
        daemon.up_since = asyncio.get_running_loop().time()

    def _disturb(self) -> None:
        self.disturbed_at.append(asyncio.get_running_loop().time())

    async def until_ready(self) -> None:
        """Wait until each daemon says that it is ready."""
        async with asyncio.timeout(4 * LONGEST_SECONDS):
            for daemon in self.daemons:
                while not await self.is_ready(daemon):
                    await asyncio.sleep(LOOK_SECONDS)

    async def is_ready(self, daemon: Daemon) -> bool:
        """Ask a daemon whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.ports[1])
        except OSError:
            return False
        try:
            writer.write(request("/ready", "GET", b"", Content_Length=""))
            return (await read_answer(reader)).status == 200
        finally:
            writer.close()

    async def call(self, daemon: Daemon, target: str, **headers: str) -> Answer | None:
        """Make one call at ``daemon``; ``None`` if it cannot be connected to."""
        try:
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.ports[0])
        except OSError:
            return None
        made = MadeCall(daemon, target, daemon.well_since)
        self.calls[headers["Request_Id"]] = made
        try:
            writer.write(request(target, "GET", b"", **headers))
            answer = await read_answer(reader)
            made.status = answer.status
            return answer
        finally:
            writer.close()

    def watching(self) -> list[Daemon]:
        """Return the daemons that have watched the store's configuration since ``forget_calls``."""
        return [
            daemon
            for daemon in self.daemons
            if any("/objects/config?watch" in call for call in daemon.access.calls)
        ]

    def forget_calls(self) -> None:
        """Forget the calls that daemons have made to the store."""
        for daemon in self.daemons:
            daemon.access.calls.clear()

    async def stop(self) -> None:
        """End all processes of this fleet, and its stand-ins."""
        for daemon in self.daemons:
            if daemon.running:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            await asyncio.to_thread(daemon.process.wait)
        for replica in self.replicas:
            # What waits for the end of a pause ends before the loop does.
            replica.resume()
            replica.stop()
        await asyncio.sleep(LOOK_SECONDS)
        if self.relay is not None:
            self.relay.stop()
        self.store.stop()
