"""A small deployment for a script: daemons, replicas and clients, on loopback addresses.

The daemons are started with the command of the deploy file, and their settings are made from its
template, as the platform does.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from store import Store
from template import Template

STANDINS = Path(__file__).resolve().parent
ROOT = STANDINS.parents[1]
LOOPBACK = "127.0.0.1"
HOST = "desk.example"
SERVICE = "desk-api"
KEY = "k7b2ex5wa5xwyhks8nbk"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bounds of the deployment ``cedarline-railsail``.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_ms": 2000,
    "max_skew_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "quota_window_s": 4,
}
# The memory of a machine of that deployment, beyond which the platform kills a process.
MEMORY_MB = 150
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


@dataclass
class Answer:
    """What a client got: ``whole`` says that the answer came to its end by its own framing."""

    request_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    problem: str = ""

    @property
    def matches_seal(self) -> bool:
        """Say whether the body is the one that the replica sealed."""
        _, length, digest = self.headers.get("response-seal", "..").rsplit(".", 2)
        found = hashlib.sha256(self.body).hexdigest()[:16]
        return length == str(len(self.body)) and digest == found

    def __str__(self) -> str:
        seal = self.headers.get("response-seal", "-")
        text = f"status {self.status} whole {self.whole} bytes {len(self.body)} seal {seal}"
        return f"{text} {self.problem}".strip()


class Fleet:
    """The daemons, replicas and the store of one run; ``stop`` ends all processes."""

    def __init__(self, folder: Path) -> None:
        self.store = Store()
        self.replicas: dict[str, subprocess.Popen] = {}
        self.daemons: list[subprocess.Popen] = []
        self.addresses: list[tuple[str, dict[str, int]]] = []
        self._specs: dict[str, dict] = {}
        self._record = (folder / "record.txt").open("w", buffering=1)
        self._part_seconds = 0.05
        self._started_at = time.monotonic()
        self._temporary = Path(tempfile.mkdtemp(prefix="railsail-review-"))
        self._runs = self._temporary / "runs.jsonl"
        self._runs.touch()

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        self._record.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    async def start(self, daemons: int, replicas: int, part_seconds: float = 0.05) -> None:
        """Start the store, ``replicas`` and ``daemons``, and wait until they are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self._part_seconds = part_seconds
        await self.store.start()
        for number in range(replicas):
            self._start_replica(f"i-{number}", part_seconds)
        await self._start_daemons(daemons)
        await self._until_ready()

    def configure(self, version: int, routes: list[dict], **more: object) -> None:
        """Write a configuration as the operator does."""
        service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 110}
        service |= {"protocol": "h1", "tls": False}
        spec = {"version": version, "routes": routes, "services": [service], "limits": LIMITS}
        self.store.put("config", "main", spec | more)
        self.note(f"configuration {version} acknowledged: {json.dumps(more)}")

    def _start_replica(self, name: str, part_seconds: float, port: int = 0) -> None:
        port = port or free_port(LOOPBACK)
        command = [sys.executable, STANDINS / "replica.py", name, port, self._runs, part_seconds]
        self.replicas[name] = subprocess.Popen([str(part) for part in command])
        self._specs[name] = {
            "service": SERVICE,
            "addr": f"{LOOPBACK}:{port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        self.store.put("servers", name, self._specs[name])

    def drain_replica(self, name: str) -> None:
        """Let a replica state that it is leaving."""
        self._specs[name] |= {"state": "draining", "seq": 2}
        self.store.put("servers", name, self._specs[name])
        self.note(f"replica {name} states draining, which the store has taken")

    def kill_replica(self, name: str) -> None:
        """Kill the process of a replica."""
        self.replicas[name].send_signal(signal.SIGKILL)
        self.note(f"replica {name} killed")

    def start_again(self, name: str, new_name: str) -> None:
        """Start a replica at the address of ``name``, which was killed, under an id of its own."""
        spec = self._specs[name]
        self._start_replica(new_name, self._part_seconds, int(spec["addr"].split(":")[1]))
        self.note(f"replica {new_name} started at the address of {name}")

    def signal_daemon(self, number: int, number_of_signal: signal.Signals) -> None:
        """Send a signal to the process of a daemon."""
        self.daemons[number].send_signal(number_of_signal)
        self.note(f"daemon {number} gets {number_of_signal.name}")

    async def _start_daemons(self, count: int) -> None:
        for number in range(count):
            ip = f"127.0.2.{10 + number}"
            names = ("front", "ready", "control", "forward")
            self.addresses.append((ip, {name: free_port(ip) for name in names}))
        self.daemons = [self._start_daemon(number, True) for number in range(count)]

    def _start_daemon(self, number: int, is_first_start: bool) -> subprocess.Popen:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["router"]
        path = self._temporary / f"settings-{number}"
        template = (ROOT / role["template"]).read_text()
        path.write_text(Template(self._fields(number, is_first_start)).fill(template))
        command = role["run"].replace("/etc/railsail/settings.json", str(path)).split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._temporary / f"daemon-{number}.log").open("ab") as log:
            return subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def kill_daemon(self, number: int) -> None:
        """Kill the process of a daemon."""
        self.daemons[number].kill()
        self.daemons[number].wait()
        self.note(f"daemon {number} killed")

    def restart_daemon(self, number: int) -> None:
        """Start a daemon again that was killed, as the platform does."""
        self.daemons[number] = self._start_daemon(number, False)
        self.note(f"daemon {number} started again")

    def memory_mb(self, number: int) -> float:
        """Return the memory that the process of a daemon takes now, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.daemons[number].pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else 0.0

    def _fields(self, number: int, is_first_start: bool) -> dict:
        ip, ports = self.addresses[number]
        zones = ["zone-a", "zone-b", "zone-c"]
        return {
            "node": f"front-{number}",
            "ip": ip,
            "zone": zones[number % len(zones)],
            "region": "here",
            "zones": dict.fromkeys(zones, "here"),
            "listen": {name: f"{ip}:{ports[name]}" for name in ("front", "ready", "control")},
            "port_range": [ports["forward"], ports["forward"]],
            "seeds": [f"{ip}:{ports['control']}" for ip, ports in self.addresses[:3]],
            "bootstrap": is_first_start,
            "limits": {"memory_mb": MEMORY_MB, "max_fds": 4100},
            "bounds": BOUNDS,
            "provider": {"addr": f"{LOOPBACK}:{self.store.port}", "form": "objects"},
        }

    async def _until_ready(self) -> None:
        ends_at = time.monotonic() + 30
        for ip, ports in self.addresses:
            while not await is_ready(ip, ports["ready"]):
                if time.monotonic() > ends_at:
                    raise CannotRun(f"the daemon at {ip} is not ready")
                await asyncio.sleep(0.1)
        # The daemons learn of each other and of the replicas.
        await asyncio.sleep(2.0)
        self.note("all daemons are ready")

    async def call(self, daemon: int, request_id: str, target: str, **headers: str) -> Answer:
        """Make one request on a connection of its own; headers are named with underscores."""
        ip, ports = self.addresses[daemon]
        answer = Answer(request_id)
        self.note(f"sent {request_id} {target} to daemon {daemon}")
        try:
            reader, writer = await asyncio.open_connection(ip, ports["front"])
            writer.write(request(request_id, target, **headers))
            await read_answer(reader, answer)
            writer.close()
        except (OSError, EOFError, TimeoutError) as problem:
            answer.problem = type(problem).__name__
        self.note(f"answered {request_id}: {answer}")
        return answer

    def runs(self) -> list[dict]:
        """Return the requests that replicas have run."""
        return [json.loads(line) for line in self._runs.read_text().splitlines()]

    def stop(self) -> None:
        """End all processes of this run, and note what was run."""
        processes = [*self.daemons, *self.replicas.values()]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        for run in self.runs():
            self.note(f"run {json.dumps(run)}")
        self.store.stop()
        shutil.rmtree(self._temporary)


def route(name: str, kind: str, **more: object) -> dict:
    """Return a route of the configuration."""
    fields = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind}
    fields |= {"service": SERVICE, "timeout_ms": 15000, "slo_ms": 1000, "priority": 1}
    return fields | {"max_attempts": 1, "anonymous": False} | more


def request(request_id: str, target: str, method: str = "POST", **headers: str) -> bytes:
    """Return the bytes of a request; a header without a value is left out."""
    body = b"x" if method == "POST" else b""
    fields = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": "15000",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(body)),
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader, answer: Answer, seconds: float = 20.0) -> None:
    """Read an answer that has a length or chunks."""
    async with asyncio.timeout(seconds):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.strip().split("\r\n")
        answer.status = int(line.split(" ")[1])
        answer.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (item.partition(":") for item in rest)
        }
        if answer.headers.get("transfer-encoding") != "chunked":
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.whole = True
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                answer.whole = True
                return
            answer.body += chunk[:-2]


async def is_ready(ip: str, port: int) -> bool:
    """Ask a daemon whether it is ready, as the platform does."""
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(f"GET /ready HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
        line = await reader.readline()
        writer.close()
    except OSError:
        return False
    return line.split()[1:2] == [b"200"]


def free_port(ip: str) -> int:
    """Return a port of ``ip`` that is free now, none that a connection may be given meanwhile."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as found, suppress(OSError):
            found.bind((ip, port))
            return port


def run_case(case, folder: Path) -> None:
    """Run ``case`` with a fleet, and exit with 1 if it found the rule broken, 0 if it held."""

    async def run() -> int:
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(110):
                broken = await case(fleet)
        except (CannotRun, TimeoutError) as problem:
            fleet.note(f"the case could not be run: {problem!r}")
            return NOT_RUN
        finally:
            fleet.stop()
        fleet.note(f"trouble {TROUBLE}: the rule {'was broken' if broken else 'held'}")
        return BROKEN if broken else HELD

    try:
        code = asyncio.run(run())
    except Exception as problem:
        print(f"the case could not be run: {problem!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
