"""Starts a small deployment on loopback addresses: the store, replicas and daemons as processes.

Daemons are started with the command of the deploy file, with settings from its template. With
``KEEP_LOGS`` in the environment, the folder with their logs is kept.
"""

import asyncio
import contextlib
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
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from wire import Message, call, request_bytes

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
STORE_IPS = "127.0.30."
DAEMON_IPS = "127.0.31."
REPLICA_IPS = "127.0.32."
MACHINE_IPS = [f"{net}{n}" for net in (STORE_IPS, DAEMON_IPS, REPLICA_IPS) for n in range(1, 21)]
PORTS = (20_000, 30_000)
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_ms": 2000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "recover_s": 12,
    "quota_window_s": 4,
}


def free_ports(count: int) -> list[int]:
    """Return ports that are free on all machines, below those of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(*PORTS)
        if port not in ports and all(_is_free(ip, port) for ip in MACHINE_IPS):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


@dataclass
class Daemon:
    """One machine: its settings and, while it runs, its process."""

    name: str
    fields: dict
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return self.fields["listen"]["front"]

    @property
    def ready(self) -> str:
        """Return the address that the platform asks for readiness."""
        return self.fields["listen"]["ready"]


class Fleet:
    """All processes of one run, and the record of what was sent, answered and run."""

    def __init__(self, case: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(case / "record.txt", "w", buffering=1)  # noqa: SIM115
        self.processes: list[subprocess.Popen] = []
        self.daemons: list[Daemon] = []
        self.replicas: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.replica_log = self.folder / "replicas.log"
        self.started_at = time.time()
        store, owners, front, ready, control, forward = free_ports(6)
        # Each machine has an address of the store of its own.
        self.stores = [f"{STORE_IPS}{number}:{store}" for number in range(1, 21)]
        self.owners = f"{STORE_IPS}1:{owners}"
        self.ports = {"front": front, "ready": ready, "control": control, "forward": forward}
        self.role = next(iter(_deploy_file()["roles"].values()))

    def record(self, text: str) -> None:
        """Write one line to the record."""
        self.record_file.write(f"{time.time() - self.started_at:8.3f} {text}\n")

    def _start(self, arguments: list[str], log: Path, **options: object) -> subprocess.Popen:
        with log.open("ab") as output:
            process = subprocess.Popen(arguments, stdout=output, stderr=output, **options)
        self.processes.append(process)
        return process

    def start_store(self, heartbeat: float = 1.2) -> None:
        """Start the store."""
        command = [sys.executable, str(STANDINS / "store.py"), str(heartbeat), self.owners]
        self._start([*command, *self.stores], self.folder / "store.log")

    def start_replica(self, name: str, service: str, address: str, zone: str, *more: str) -> None:
        """Start a replica with further options ``more``."""
        self.addresses[name] = address
        command = [sys.executable, str(STANDINS / "replica.py"), f"--id={name}"]
        command += [f"--service={service}", f"--address={address}", f"--zone={zone}"]
        command += [f"--owners={self.owners}", f"--log={self.replica_log}", *more]
        self.replicas[name] = self._start(command, self.folder / "replica-output.log")

    def add_daemons(self, zones: list[str]) -> None:
        """Lay out one machine for each of ``zones``."""
        addresses = [f"{DAEMON_IPS}{number + 1}" for number in range(len(zones))]
        for ip, zone in zip(addresses, zones, strict=True):
            name = f"front-{zone}-{ip.rpartition('.')[2]}"
            fields = {
                "node": name,
                "ip": ip,
                "zone": zone,
                "region": "here",
                "zones": dict.fromkeys(zones, "here"),
                "listen": {
                    part: f"{ip}:{self.ports[part]}" for part in ("front", "ready", "control")
                },
                "port_range": [self.ports["forward"], self.ports["forward"]],
                "seeds": [f"{address}:{self.ports['control']}" for address in addresses[:3]],
                "bootstrap": True,
                "limits": {"max_fds": 4100},
                "bounds": BOUNDS,
                "provider": {"addr": self.stores[len(self.daemons)]},
            }
            settings, log = self.folder / f"{name}.conf", self.folder / f"{name}.log"
            self.daemons.append(Daemon(name, fields, settings, log))

    def start_daemon(self, daemon: Daemon) -> None:
        """Start the process of a daemon."""
        template = (ROOT / self.role["template"]).read_text()
        daemon.settings.write_text(render(template, [daemon.fields]))
        command = (
            self.role["run"].replace("/etc/railsail/settings.json", str(daemon.settings)).split()
        )
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "RAILSAIL_NODE_FILE": str(daemon.settings),
        }
        daemon.process = self._start(command, daemon.log, cwd=ROOT, env=environment)
        daemon.fields["bootstrap"] = False

    def kill(self, process: subprocess.Popen) -> None:
        """Kill a process that this run started."""
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
        process.wait()

    async def put(self, kind: str, name: str, spec: object) -> bool:
        """Write an object as the operator; return True once the store has acknowledged it."""
        request = request_bytes("PUT", f"/{kind}/{name}", {}, json.dumps(spec).encode())
        return await call(self.owners, request, 5.0) is not None

    async def silence(self, daemon: Daemon, silent: bool) -> None:
        """Begin or end the silence of the store towards a daemon."""
        method = "PUT" if silent else "DELETE"
        target = f"/silence/{daemon.fields['provider']['addr']}"
        await call(self.owners, request_bytes(method, target, {}), 5.0)

    async def wait_ready(self, seconds: float) -> bool:
        """Wait until all daemons are ready; return False if that takes too long."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            answers = [await self.is_ready(daemon) for daemon in self.daemons]
            if all(answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def is_ready(self, daemon: Daemon) -> bool:
        """Ask a daemon for its readiness, as the platform does."""
        answer = await call(daemon.ready, request_bytes("GET", "/ready", {}), 1.0)
        return answer is not None and answer.status == 200

    async def request(
        self, daemon: Daemon, request_id: str, target: str, seconds: float = 5.0, **headers: str
    ) -> Message | None:
        """Send one request of a client and record it with its answer."""
        given = {"Host": "a.example", "Request-Id": request_id}
        given["Deadline-Ms"] = str(round(seconds * 1000))
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        self.record(
            f"sent {request_id} POST {target} to {daemon.name} {given.get('Authorization', '')}"
        )
        return await self.send(
            daemon, request_id, request_bytes("POST", target, given, b"x"), seconds
        )

    async def send(
        self, daemon: Daemon, request_id: str, request: bytes, seconds: float
    ) -> Message | None:
        """Send the bytes of a request on a new connection, and record the answer."""
        answer = await call(daemon.front, request, seconds)
        if answer is None:
            self.record(f"answer to {request_id}: none")
            return None
        whole = "whole" if answer.complete else "cut off"
        size = len(answer.body)
        seal = answer.headers.get("response-seal", "none")
        self.record(f"answer to {request_id}: {answer.status} {whole}, {size} bytes, seal {seal}")
        return answer

    def runs(self) -> list[dict]:
        """Return what the replicas have logged so far."""
        if not self.replica_log.exists():
            return []
        return [json.loads(line) for line in self.replica_log.read_text().splitlines()]

    def finish(self) -> None:
        """End all processes, and add the replicas' logs to the record."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                self.kill(process)
        for entry in self.runs():
            at = entry.pop("at") - self.started_at
            facts = " ".join(f"{name}={value}" for name, value in entry.items())
            self.record_file.write(f"{at:8.3f} replica: {facts}\n")
        self.record_file.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case: Path, main: Callable[[Fleet], Awaitable[int]]) -> int:
    """Run a case in the folder ``case``, end all its processes, and return its exit code."""
    # A case that takes too long is sent SIGTERM, and ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    fleet = Fleet(case)
    try:
        return asyncio.run(main(fleet))
    finally:
        fleet.finish()


def _deploy_file() -> dict:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


_TAG = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


def render(template: str, scopes: list[object]) -> str:
    """Fill the gaps of a settings template."""
    result, position = [], 0
    while match := _TAG.search(template, position):
        result.append(template[position : match.start()])
        mark, name = match[1], match[2]
        position = match.end()
        if not mark:
            result.append(_text(_look_up(name, scopes), bool(match[3])))
            continue
        end = template.index(f"{{{{/{name}}}}}", position)
        inner = template[position:end]
        position = end + len(f"{{{{/{name}}}}}")
        result.append(_section(mark, inner, _look_up(name, scopes), scopes))
    return "".join(result) + template[position:]


def _section(mark: str, inner: str, value: object, scopes: list[object]) -> str:
    if mark == "^":
        return "" if value else render(inner, scopes)
    if isinstance(value, dict | list):
        pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
        return "".join(
            render(inner, [*scopes, {"@": key, ".": entry, ",": "," if last else ""}])
            for (key, entry), last in zip(
                pairs, [number < len(pairs) - 1 for number in range(len(pairs))], strict=True
            )
        )
    return render(inner, scopes) if value or (value == 0 and value is not False) else ""


def _look_up(name: str, scopes: list[object]) -> object:
    for scope in reversed(scopes):
        if name in (".", "@", ","):
            if isinstance(scope, dict) and name in scope:
                return scope[name]
            continue
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        if value is not None:
            return value
    return None


def _text(value: object, as_json: bool) -> str:
    if as_json or isinstance(value, dict):
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value).lower() if isinstance(value, bool) else str(value)
