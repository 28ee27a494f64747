"""Start a deployment as processes on loopback, and observe it from outside.

The deployments are the two of ``examples/``.
"""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.relay import Relay
from railsail.cli.client import AdminClient
from railsail.standins.fleet import ADMIN_SECRET, PEER_SECRET, free_ports, load_objects
from railsail.upstreams.collector import fetch
from railsail.upstreams.http import HttpRequest

ROOT = Path(__file__).parents[1]
START_TIMEOUT_SECONDS = 60.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_SAMPLE = re.compile(r"^(\w+)\{([^}]*)\} (\S+)$")
_LABEL = re.compile(r'(\w+)="([^"]*)"')


@dataclass(frozen=True)
class Shape:
    """The failure domains, pools and workspaces of a deployment, named as in ``examples/``."""

    name: str
    domains: tuple[str, ...]
    model_pool: str
    replicas: int
    service_pool: str
    service_replicas: int
    large_workspaces: tuple[str, ...]


ASSOCIATION = Shape(
    "association",
    ("ulemiste", "lasnamae", "mustamae"),
    "adverts",
    6,
    "board",
    3,
    ("harbour-jobs", "it-positions", "island-work"),
)
CEDARLINE = Shape(
    "cedarline",
    ("burnaby-hall", "richmond-hall", "surrey-hall"),
    "declarations",
    5,
    "desk",
    3,
    ("burnaby-desk", "airport-desk", "night-entries"),
)
SHAPES = {shape.name: shape for shape in (ASSOCIATION, CEDARLINE)}


@dataclass(frozen=True)
class Usage:
    """What a daemon has used so far.

    ``cpu`` is processor time in seconds and ``rss`` resident memory in bytes; ``peer_bytes`` and
    ``peer_messages`` count what was sent to peers, by kind of message.
    """

    cpu: float
    rss: int
    peer_bytes: dict[str, float]
    peer_messages: dict[str, float]


@dataclass
class Daemon:
    """One daemon process."""

    ip: str
    ports: list[int]
    process: subprocess.Popen
    flags: list[str]

    @property
    def caller_endpoint(self) -> str:
        """Return the caller endpoint."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def admin(self) -> AdminClient:
        """Return a client of the admin interface."""
        return AdminClient(f"{self.ip}:{self.ports[1]}", ADMIN_SECRET)

    @property
    def node(self) -> str:
        """Return the node id."""
        return f"{self.ip}:{self.ports[2]}"


@dataclass
class Deployment:
    """The processes of one run; ``stop`` kills these and no others."""

    shape: Shape
    store: str
    upstreams: dict[str, str]
    processes: list[subprocess.Popen] = field(default_factory=list)
    daemons: list[Daemon] = field(default_factory=list)
    log: object = subprocess.DEVNULL

    def spawn(self, arguments: list[str]) -> subprocess.Popen:
        """Start a Python process that ``stop`` kills."""
        process = subprocess.Popen(
            [sys.executable, *arguments], cwd=ROOT, stdout=self.log, stderr=self.log
        )
        self.processes.append(process)
        return process

    def add_daemon(self, number: int, *extra_flags: str, ports: list[int] | None = None) -> Daemon:
        """Start daemon ``number`` on its own loopback address."""
        ip = ip_of(number)
        ports = ports or free_ports(3, ip)
        domain = self.shape.domains[number % len(self.shape.domains)]
        flags = [
            f"--node-ip={ip}",
            f"--caller-port={ports[0]}",
            f"--admin-port={ports[1]}",
            f"--peer-port={ports[2]}",
            f"--failure-domain={domain}",
            f"--store={self.store}",
            f"--peer-secret={PEER_SECRET}",
            f"--admin-secret={ADMIN_SECRET}",
            "--log-level=warning",
            "--leave-seconds=1",
            "--queue-per-workspace=2000",
            "--queue-total=10000",
            *extra_flags,
        ]
        process = self.spawn(["-m", "railsail.daemon", *flags])
        daemon = Daemon(ip, ports, process, flags)
        self.daemons.append(daemon)
        return daemon

    def caller_endpoint(self, index: int) -> str:
        """Return the caller endpoint of daemon ``index``, modulo the number of daemons."""
        return self.daemons[index % len(self.daemons)].caller_endpoint

    async def list_daemon(self, daemon: Daemon) -> None:
        """Add a daemon to the platform's node list."""
        await self.put("node", daemon.node, {"state": "live"})

    async def put(self, kind: str, name: str, value: object) -> None:
        """Write an object to the store, whatever version it has there.

        Raise ``RuntimeError`` if the store refuses it.
        """
        path = f"/v1/objects/{kind}/{name}"
        found = await fetch(HttpRequest(self.store, "GET", path, {}), 5.0)
        version = json.loads(found.body)["version"] if found and found.status == 200 else 0
        body = json.dumps(value).encode()
        request = HttpRequest(self.store, "PUT", f"{path}?expected={version}", {}, body)
        answer = await fetch(request, 5.0)
        if answer is None or answer.status != 200:
            raise RuntimeError(f"the stand-in store refused {kind}/{name}")

    async def wait_until_ready(self, daemons: int) -> None:
        """Wait until every daemon is ready and sees ``daemons`` members alive.

        Raise ``TimeoutError`` after ``START_TIMEOUT_SECONDS``.
        """
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            for daemon in self.daemons:
                while not await _is_settled(daemon, daemons):
                    await asyncio.sleep(0.1)

    async def set_faults(self, endpoint: str, **faults: object) -> None:
        """Set the faults of a stand-in; without ``faults``, clear them all."""
        body = json.dumps(faults).encode()
        await fetch(HttpRequest(endpoint, "PUT", "/standin/faults", {}, body), 5.0)

    async def logs(self) -> dict[str, list[dict]]:
        """Return the runs that each stand-in upstream has logged, by its name."""
        found = {}
        for name, endpoint in self.upstreams.items():
            answer = await fetch(HttpRequest(endpoint, "GET", "/standin/log", {}), 30.0, 64 << 20)
            found[name] = json.loads(answer.body)["runs"]
        return found

    async def store_calls(self) -> dict[str, int]:
        """Return how often the store was called, by kind of call, such as ``PUT objects``."""
        answer = await fetch(HttpRequest(self.store, "GET", "/standin/calls", {}), 5.0)
        return json.loads(answer.body)

    def stop(self) -> None:
        """Kill all processes of this deployment, and wait for their ends."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def ip_of(number: int) -> str:
    """Return the loopback address of daemon ``number``."""
    return f"127.0.{1 + number // 200}.{10 + number % 200}"


async def _is_settled(daemon: Daemon, count: int) -> bool:
    reply = await daemon.admin.call("GET", "/v1/status")
    if reply.status != 200 or reply.body["not_ready"] or not reply.body["upstreams"]:
        return False
    alive = [member for member in reply.body["members"] if member["state"] == "alive"]
    return len(alive) >= count


def usage_of_process(process: subprocess.Popen) -> tuple[float, int]:
    """Return the processor time in seconds and the resident memory in bytes of a process."""
    text = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return (int(text[11]) + int(text[12])) / CLOCK_TICKS, pages * os.sysconf("SC_PAGE_SIZE")


async def usage(daemon: Daemon) -> Usage:
    """Return the processor time, the memory and the peer traffic of ``daemon``."""
    cpu, rss = usage_of_process(daemon.process)
    headers = {"Authorization": f"Bearer {ADMIN_SECRET}"}
    endpoint = f"{daemon.ip}:{daemon.ports[1]}"
    answer = await fetch(HttpRequest(endpoint, "GET", "/metrics", headers), 5.0)
    samples = parse_samples(answer.body.decode())
    return Usage(
        cpu,
        rss,
        samples.get("railsail_peer_bytes_total", {}),
        samples.get("railsail_peer_messages_total", {}),
    )


def parse_samples(text: str) -> dict[str, dict[str, float]]:
    """Return the samples of a metrics page by metric name, then by the label ``kind``."""
    samples: dict[str, dict[str, float]] = {}
    for line in text.splitlines():
        match = _SAMPLE.match(line)
        if match:
            labels = dict(_LABEL.findall(match.group(2)))
            by_kind = samples.setdefault(match.group(1), {})
            by_kind[labels.get("kind", "")] = float(match.group(3))
    return samples


def workspaces(shape: Shape) -> dict[str, float]:
    """Return the weight of each workspace of ``shape``."""
    objects = load_objects(ROOT / "examples" / shape.name)
    classes = {o["name"]: o["weight"] for o in objects if o["kind"] == "priorityclass"}
    return {o["name"]: classes[o["priority_class"]] for o in objects if o["kind"] == "workspace"}


async def start(
    shape: Shape,
    daemons: int,
    extra_flags: tuple[str, ...] = (),
    engine: dict | None = None,
    relay: Relay | None = None,
) -> Deployment:
    """Start the store, the upstreams and ``daemons`` daemons of ``shape``, and wait for readiness.

    ``extra_flags`` are further flags of the daemons, and ``engine`` has settings of the stand-in
    engines. With ``relay``, the links between daemons go through it.
    """
    store_port = free_ports(1)[0]
    deployment = Deployment(shape, f"127.0.0.1:{store_port}", {})
    deployment.spawn(
        [
            "-m",
            "railsail.standins.host",
            json.dumps([{"part": "store", "name": "store", "ip": "127.0.0.1", "port": store_port}]),
        ]
    )
    parts = _upstream_parts(shape, engine or {})
    deployment.spawn(["-m", "railsail.standins.host", json.dumps(parts)])
    deployment.upstreams = {part["name"]: f"{part['ip']}:{part['port']}" for part in parts}
    await _wait_for(deployment.store)
    await _fill_store(deployment, parts)
    for number in range(daemons):
        await _start_daemon(deployment, number, extra_flags, relay)
    await deployment.wait_until_ready(daemons)
    return deployment


async def _start_daemon(
    deployment: Deployment, number: int, extra_flags: tuple[str, ...], relay: Relay | None
) -> None:
    ports = free_ports(4, ip_of(number))
    if relay is not None:
        await relay.listen(ip_of(number), ports[2], ports[3])
        extra_flags = (*extra_flags, f"--listen-port={ports[3]}")
    await deployment.list_daemon(deployment.add_daemon(number, *extra_flags, ports=ports[:3]))


def _upstream_parts(shape: Shape, engine: dict) -> list[dict]:
    ports = free_ports(shape.replicas + shape.service_replicas)
    parts = []
    for number in range(shape.replicas):
        name = f"{shape.model_pool}-{number}"
        parts.append({"part": "engine", "name": name, "pool": shape.model_pool, "settings": engine})
    for number in range(shape.service_replicas):
        name = f"{shape.service_pool}-{number}"
        parts.append({"part": "service", "name": name, "pool": shape.service_pool})
    for part, port in zip(parts, ports, strict=True):
        part.update(ip="127.0.0.1", port=port)
    return parts


async def _wait_for(endpoint: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        request = HttpRequest(endpoint, "GET", "/standin/calls", {})
        while await fetch(request, 1.0) is None:
            await asyncio.sleep(0.05)


async def _fill_store(deployment: Deployment, parts: list[dict]) -> None:
    objects = load_objects(ROOT / "examples" / deployment.shape.name)
    operations = [{"kind": o["kind"], "name": o["name"], "value": o} for o in objects]
    change = {"version": 1, "id": "first", "author": "bench", "at": 0.0, "operations": operations}
    head = {"version": 1, "base": 0, "changes": [change]}
    await deployment.put("configuration", "head", head)
    domains = deployment.shape.domains
    for number, part in enumerate(parts):
        value = {
            "pool": part["pool"],
            "endpoint": f"{part['ip']}:{part['port']}",
            "state": "live",
            "failure_domain": domains[number % len(domains)],
        }
        await deployment.put("upstream", part["name"], value)
