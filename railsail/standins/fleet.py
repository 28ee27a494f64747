"""A small fleet in one process: a store, upstreams and daemons on loopback ports.

It is used by the demonstration and by tests. Benchmarks start each daemon in its own process.
"""

import json
import random
import socket
from dataclasses import dataclass, field
from pathlib import Path

from tornado.httpserver import HTTPServer

from railsail.conf.settings import Settings, parse
from railsail.node import Node
from railsail.standins.batching import Engine, EngineSettings
from railsail.standins.engine import serve_engine
from railsail.standins.service import Service, serve_service
from railsail.standins.store import StoreState, serve_store

LOOPBACK = "127.0.0.1"
PEER_SECRET = "stand-in-peer-secret"
ADMIN_SECRET = "stand-in-admin-secret"


def free_ports(count: int, ip: str = LOOPBACK) -> list[int]:
    """Return ``count`` TCP ports that are currently free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def node_settings(ports: list[int], store: str, domain: str, **overrides: str) -> Settings:
    """Return the settings of a daemon with ``ports`` for callers, operators and peers.

    ``overrides`` replace the defaults of single settings.
    """
    values = {
        "caller-port": str(ports[0]),
        "admin-port": str(ports[1]),
        "peer-port": str(ports[2]),
        "failure-domain": domain,
        "store": store,
        "peer-secret": PEER_SECRET,
        "admin-secret": ADMIN_SECRET,
        "leave-seconds": "0",
        **{name.replace("_", "-"): value for name, value in overrides.items()},
    }
    flags = [f"--{name}={value}" for name, value in values.items()]
    return parse(flags, {}).settings


@dataclass
class StandinFleet:
    """The running parts of a fleet; ``stop`` stops them all."""

    rng: random.Random
    store: StoreState
    store_endpoint: str
    servers: list[HTTPServer]
    nodes: list[Node] = field(default_factory=list)
    engines: dict[str, Engine] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)

    @classmethod
    def start(cls, seed: int) -> "StandinFleet":
        """Start a fleet that consists of a store only."""
        rng = random.Random(seed)
        port = free_ports(1)[0]
        state, server = serve_store(LOOPBACK, port, rng)
        return cls(rng, state, f"{LOOPBACK}:{port}", [server])

    def add_engine(
        self, name: str, pool: str, settings: EngineSettings, domain: str = ""
    ) -> Engine:
        """Start an engine, and list it in the store."""
        port = free_ports(1)[0]
        engine, server = serve_engine(name, LOOPBACK, port, settings)
        self.engines[name] = engine
        self._list_upstream(name, pool, port, domain, server)
        return engine

    def add_service(self, name: str, pool: str, domain: str = "") -> Service:
        """Start a service replica, and list it in the store."""
        port = free_ports(1)[0]
        service, server = serve_service(name, LOOPBACK, port)
        self.services[name] = service
        self._list_upstream(name, pool, port, domain, server)
        return service

    def _list_upstream(
        self, name: str, pool: str, port: int, domain: str, server: HTTPServer
    ) -> None:
        self.servers.append(server)
        value = {"pool": pool, "endpoint": f"{LOOPBACK}:{port}", "state": "live"}
        self.store.put("upstream", name, {**value, "failure_domain": domain})

    def configure(self, objects: list[dict]) -> None:
        """Store ``objects`` as configuration version 1, like an operator's first change."""
        operations = [
            {"kind": item["kind"], "name": item["name"], "value": item} for item in objects
        ]
        change = {
            "version": 1,
            "id": "first",
            "author": "stand-in",
            "at": 0.0,
            "operations": operations,
        }
        self.store.put("configuration", "head", {"version": 1, "base": 0, "changes": [change]})

    async def add_node(self, domain: str = "a", **overrides: str) -> Node:
        """Start a daemon, and list it in the store."""
        settings = node_settings(free_ports(3), self.store_endpoint, domain, **overrides)
        self.store.put("node", settings.node_id, {"state": "live"})
        node = Node(settings, rng=random.Random(self.rng.getrandbits(64)))
        self.nodes.append(node)
        await node.start()
        return node

    async def kill(self, node: Node) -> None:
        """Stop a daemon like a crash, without notifying anyone."""
        self.nodes.remove(node)
        await node.abort()

    async def restart(self, node: Node) -> Node:
        """Restart a killed daemon with its old settings and no state."""
        restarted = Node(node.settings, rng=random.Random(self.rng.getrandbits(64)))
        self.nodes.append(restarted)
        await restarted.start()
        return restarted

    async def stop(self) -> None:
        """Stop everything."""
        for node in self.nodes:
            await node.stop()
        for server in self.servers:
            server.stop()
            await server.close_all_connections()


def load_objects(folder: Path) -> list[dict]:
    """Return the objects of all JSON files in ``folder``."""
    objects = []
    for path in sorted(folder.glob("*.json")):
        objects += json.loads(path.read_text())
    return objects
