"""Run daemons of two builds side by side, and replace those of the other build one by one.

    python -m benchmarks.builds --other=DIR [--seconds=18] [--per-build=3]

DIR holds the sources of another build. Half of the daemons run that build and half run this one, in
front of four engines. After a third of the time, the daemons of the other build are replaced by
this build, one a second. The figures are the links that a daemon closed because it could not read a
message, and the requests sent and served.

Between two builds whose messages have no compatibility levels, 121 links were closed, 90 of them
while both builds ran side by side. Between either of these builds and this one, no link was closed
(18 s, three daemons of each build, one run each).
"""

import asyncio
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import fire

from benchmarks.chat import send_chat, start_engines
from benchmarks.quarantine import SETTINGS
from railsail.core.logs import configure_logs
from railsail.standins.fleet import ADMIN_SECRET, PEER_SECRET, StandinFleet, free_ports

ROOT = Path(__file__).parents[1]
ENGINES = 4
REQUEST_INTERVAL_SECONDS = 0.05
STARTUP_SECONDS = 8.0
LINK_CLOSED = b"link closed"


@dataclass
class Daemon:
    """A daemon process and its log file."""

    ports: list[int]
    process: subprocess.Popen
    log: Path

    def closed_links(self) -> int:
        """Return how often the daemon closed a link because of a message that it received."""
        return self.log.read_bytes().count(LINK_CLOSED)

    def stop(self) -> None:
        """Stop the process gracefully, and wait until it has ended."""
        self.process.terminate()
        self.process.wait(20)


@dataclass
class Run:
    """The processes of one run, and the counts of its requests."""

    fleet: StandinFleet
    folder: Path
    daemons: list[Daemon] = field(default_factory=list)
    stopped: list[Daemon] = field(default_factory=list)
    sent: int = 0
    served: int = 0

    def start(self, sources: Path) -> None:
        """Start a daemon of the build in the folder ``sources``."""
        ports = free_ports(3)
        log = self.folder / f"{ports[0]}.log"
        flags = [
            f"--caller-port={ports[0]}",
            f"--admin-port={ports[1]}",
            f"--peer-port={ports[2]}",
            "--failure-domain=a",
            f"--store={self.fleet.store_endpoint}",
            f"--peer-secret={PEER_SECRET}",
            f"--admin-secret={ADMIN_SECRET}",
            "--leave-seconds=1",
            "--log-level=warning",
        ]
        self.fleet.store.put("node", f"127.0.0.1:{ports[2]}", {"state": "live"})
        with log.open("wb") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", "railsail.daemon", *flags],
                cwd=sources,
                env=os.environ | {"PYTHONPATH": str(sources)},
                stdout=out,
                stderr=out,
            )
        self.daemons.append(Daemon(ports, process, log))

    def replace(self, daemon: Daemon, sources: Path) -> None:
        """Stop a daemon, and start one of the build in the folder ``sources``."""
        self.daemons.remove(daemon)
        self.stopped.append(daemon)
        daemon.stop()
        self.start(sources)

    async def send_request(self) -> None:
        """Send one request to the next daemon, and count it as served if it succeeds."""
        daemon = self.daemons[self.sent % len(self.daemons)]
        self.sent += 1
        endpoint = f"127.0.0.1:{daemon.ports[0]}"
        # The response is None while the daemon is being replaced.
        response = await send_chat(endpoint, "hello", False, output_tokens="20")
        self.served += response is not None and response.code == 200

    async def send_requests(self, seconds: float) -> None:
        """Send requests at a steady rate for ``seconds``, and wait for their responses."""
        calls = []
        ends_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            calls.append(asyncio.ensure_future(self.send_request()))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        await asyncio.gather(*calls)

    def closed_links(self) -> int:
        """Return how often any daemon closed a link because of a message that it received."""
        return sum(daemon.closed_links() for daemon in (*self.daemons, *self.stopped))


async def _measure(other: Path, seconds: float, per_build: int, folder: Path) -> None:
    fleet = start_engines(ENGINES, SETTINGS)
    run = Run(fleet, folder)
    for _ in range(per_build):
        run.start(other)
        run.start(ROOT)
    other_daemons = run.daemons[::2]
    await asyncio.sleep(STARTUP_SECONDS)
    await run.send_requests(seconds / 3)
    print(
        "side by side:", {"links closed": run.closed_links(), "sent, served": _request_counts(run)}
    )
    sending = asyncio.ensure_future(run.send_requests(seconds * 2 / 3))
    for daemon in other_daemons:
        await asyncio.sleep(1.0)
        await asyncio.to_thread(run.replace, daemon, ROOT)
    await sending
    print("replaced:", {"links closed": run.closed_links(), "sent, served": _request_counts(run)})
    for daemon in run.daemons:
        daemon.stop()
    await fleet.stop()


def _request_counts(run: Run) -> tuple[int, int]:
    return run.sent, run.served


def main(other: str, seconds: float = 18.0, per_build: int = 3) -> None:
    """Run the benchmark once, and print its figures."""
    configure_logs("critical", "benchmark")
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_measure(Path(other).resolve(), seconds, per_build, Path(folder)))


if __name__ == "__main__":
    fire.Fire(main)
