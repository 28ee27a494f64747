"""A test case with one daemon on the platform's stand-ins, and calls to it."""

import asyncio
import logging
import random
import unittest
from dataclasses import dataclass

from railsail.conf.settings import parse
from railsail.core.logs import configure_logs
from railsail.gateway.concurrency import INITIAL_LIMIT
from railsail.node import Node
from railsail.standins.fleet import free_ports
from tests.platform.standins import (
    LOOPBACK,
    PlatformStoreStandin,
    ReplicaStandin,
    Script,
)

LONGEST_SECONDS = 30.0
# Objectives, timeouts and deadlines of requests that must not end while the test's loop, which all
# nodes and replicas share, stands still on a busy machine.
LONG_MS = 20_000
KEY = "the-key-of-one"
ROUTES = {
    "once": {"kind": "non_idempotent", "max_attempts": 2},
    "again": {"kind": "idempotent", "max_attempts": 2},
    "stream": {"kind": "streaming", "max_attempts": 2},
    "resume": {"kind": "streaming", "resumable": True, "max_attempts": 2},
    "public": {"kind": "idempotent", "anonymous": True},
    "short": {"kind": "non_idempotent", "timeout_ms": 300},
}


def configuration(version: int, keys: list[str] | None = None, **changes: dict) -> dict:
    """Return a configuration with the routes above; ``changes`` are put over them by name."""
    routes = []
    for name, fields in ROUTES.items():
        route = {"name": name, "host": "a.example", "path_prefix": f"/{name}/", "service": "desk"}
        route |= {"timeout_ms": 5000, "slo_ms": 2000, "priority": 1}
        routes.append(route | fields | changes.get(name, {}))
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "desk", "health_path": "/h", "max_conns": 10}],
        "limits": {},
        "tenants": [{"name": "one", "api_keys": [KEY] if keys is None else keys}],
    }


@dataclass
class Answer:
    """What a caller got; ``whole`` says that the body came to its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """Start a store, replicas with ``scripts``, and one daemon for each test."""

    replica_class: type[ReplicaStandin] = ReplicaStandin

    async def asyncSetUp(self) -> None:
        configure_logs("critical", "test")
        logging.getLogger("tornado").setLevel(logging.CRITICAL)
        self.store = PlatformStoreStandin()
        self.addCleanup(self.store.stop)
        self.replicas: list[ReplicaStandin] = []
        self.nodes: list[Node] = []

    def hold(self, patch) -> None:
        """Keep a premise of the test, as ``patch`` has it, until the test ends."""
        patch.start()
        self.addCleanup(patch.stop)

    def hold_lag(self, node: Node) -> None:
        """Keep the lag of the test's own loop from ``node``'s limits: it tells of the machine."""
        node.lag.record = lambda seconds: None
        # What it told before this, while the node started, is forgotten too.
        node.front._offloader._limit.limit = INITIAL_LIMIT

    async def asyncTearDown(self) -> None:
        for node in self.nodes:
            await node.stop()

    async def serve(self, *scripts: Script, configured: bool = True, **settings: str) -> Node:
        """Start a replica for each of ``scripts``, and a daemon that knows them.

        ``settings`` of the daemon are named with underscores.
        """
        for script in scripts:
            await self.add_replica(script)
        if configured:
            self.store.put("config", "main", configuration(3))
        named = {name.replace("_", "-"): value for name, value in settings.items()}
        node = await self.add_node(**named)
        if configured:
            await self.until(lambda: not node.not_ready())
            await self.until(lambda: len(node.directory.all()) == len(self.replicas))
        return node

    async def add_replica(self, script: Script, slots: int = 4, **fields: object) -> ReplicaStandin:
        """Start a replica, and list it with ``fields`` of its record."""
        replica = self.replica_class(f"i-{len(self.replicas)}", script)
        await replica.start()
        self.addCleanup(replica.stop)
        self.replicas.append(replica)
        self.list_replica(replica, "ready", slots, **fields)
        return replica

    def list_replica(
        self, replica: ReplicaStandin, state: str, slots: int = 4, **fields: object
    ) -> None:
        spec = {"service": "desk", "addr": f"{LOOPBACK}:{replica.port}", "zone": "a"}
        spec |= {"slots": slots, "state": state, "seq": 1}
        self.store.put("servers", replica.name, spec | fields)

    async def add_node(self, **more: str) -> Node:
        ports = free_ports(3, more.get("node_ip", LOOPBACK))
        values = {
            "caller-port": str(ports[0]),
            "admin-port": str(ports[1]),
            "peer-port": str(ports[2]),
            "failure-domain": "a",
            "store": f"{LOOPBACK}:{self.store.port}",
            "store-kind": "prepared",
            "watch-seconds": "1",
            "node-list": "seeds",
            "network": "closed",
            "plugins": "railsail.platform",
            "caller-interface": "prepared",
            "leave-seconds": "0",
            "first-start": "true",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        settings = parse([f"--{name}={value}" for name, value in values.items()], {}).settings
        node = Node(settings, rng=random.Random(7))
        self.nodes.append(node)
        await node.start()
        return node

    async def until(self, condition) -> None:
        """Wait until ``condition`` holds; there is a bound only so that a fault ends the test."""
        async with asyncio.timeout(LONGEST_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def connect(self, node: Node) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(LOOPBACK, node.settings.caller_port)

    async def call(
        self, node: Node, target: str, method: str = "POST", body: bytes = b"x", **headers: str
    ) -> Answer:
        """Make one call on a connection of its own; headers are named with underscores."""
        reader, writer = await self.connect(node)
        try:
            writer.write(request(target, method, body, **headers))
            return await read_answer(reader)
        finally:
            writer.close()


def request(target: str, method: str = "POST", body: bytes = b"x", **headers: str) -> bytes:
    """Return the bytes of a request; headers are named with underscores."""
    given = {
        "Host": "a.example",
        "Request_Id": "r-1",
        "Deadline_Ms": "4000",
        "Authorization": f"Bearer {KEY}",
        "Content_Length": str(len(body)),
        **headers,
    }
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in given.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, whole or not."""
    async with asyncio.timeout(LONGEST_SECONDS):
        try:
            status, headers = await read_head(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, {}, b"", False)
        if headers.get("Transfer-Encoding") == "chunked":
            body, whole = await _read_chunks(reader)
        else:
            body, whole = await reader.readexactly(int(headers["Content-Length"])), True
        return Answer(status, headers, body, whole)


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Read the head of an answer, and return its status and headers."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *rest = text.strip().split("\r\n")
    headers = {k.title(): v for k, v in (item.split(": ", 1) for item in rest)}
    return int(line.split()[1]), headers


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body, True
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False
