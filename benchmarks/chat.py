"""Helpers of the benchmarks on the model interface: one workspace, one pool, and chat requests."""

import asyncio
import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from railsail.node import Node
from railsail.objects.catalog import hash_key
from railsail.standins.batching import EngineSettings
from railsail.standins.fleet import StandinFleet

API_KEY = "key-of-one"
DEADLINE_SECONDS = 8
TIMEOUT_SECONDS = 10.0


def objects() -> list[dict]:
    """Return the configuration: the workspace ``one``, the pool ``model``, and what they need."""
    return [
        {"kind": "priorityclass", "name": "gold", "weight": 1.0},
        {"kind": "policy", "name": "plain"},
        {"kind": "pool", "name": "model", "upstream_kind": "engine", "cost_unit": "tokens"},
        {
            "kind": "workspace",
            "name": "one",
            "priority_class": "gold",
            "policy": "plain",
            "key_hashes": [hash_key(API_KEY)],
        },
    ]


def start_engines(engines: int, settings: EngineSettings) -> StandinFleet:
    """Start a store with ``objects``, and ``engines`` engines named ``model-0``, ``model-1``, …"""
    fleet = StandinFleet.start(seed=7)
    for number in range(engines):
        fleet.add_engine(f"model-{number}", "model", settings)
    fleet.configure(objects())
    return fleet


async def start_fleet(daemons: int, engines: int, settings: EngineSettings) -> StandinFleet:
    """Start a store, ``engines`` engines, and ``daemons`` daemons in this process.

    Return when all daemons are ready.
    """
    fleet = start_engines(engines, settings)
    for number in range(daemons):
        await fleet.add_node(f"domain-{number}")
    while any(node.not_ready() for node in fleet.nodes):
        await asyncio.sleep(0.05)
    return fleet


def endpoint_of(node: Node) -> str:
    """Return the caller endpoint of a daemon in this process."""
    return f"{node.settings.node_ip}:{node.settings.caller_port}"


async def send_chat(
    endpoint: str, content: str, stream: bool, **metadata: str
) -> HTTPResponse | None:
    """Send a chat request to the daemon whose caller endpoint is ``endpoint``.

    Return the response, or ``None`` if there was none or its connection was closed early.
    """
    client = AsyncHTTPClient(force_instance=True, max_clients=1000)
    try:
        request = _chat_request(endpoint, content, stream, metadata)
        return await client.fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        return None


def _chat_request(
    endpoint: str, content: str, stream: bool, metadata: dict[str, str]
) -> HTTPRequest:
    body = {
        "model": "model",
        "stream": stream,
        "messages": [{"role": "user", "content": content}],
        "metadata": metadata,
    }
    return HTTPRequest(
        f"http://{endpoint}/v1/chat/completions",
        method="POST",
        headers={"Authorization": f"Bearer {API_KEY}", "X-Deadline-Seconds": str(DEADLINE_SECONDS)},
        body=json.dumps(body),
        request_timeout=TIMEOUT_SECONDS,
    )
