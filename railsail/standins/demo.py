"""The demonstration: three daemons serve one request, and its time line is shown.

Everything runs in this process, on loopback, and exits when it is done.
"""

import asyncio
import json
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from railsail.cli.output import show
from railsail.core.clock import stamp_seconds
from railsail.core.events import merge_logs
from railsail.core.logs import configure_logs
from railsail.standins.batching import EngineSettings
from railsail.standins.fleet import StandinFleet, load_objects

DOMAINS = ("ulemiste", "lasnamae", "mustamae")
REPLICAS = 6
SERVICE_REPLICAS = 3
EXAMPLES = Path(__file__).parents[2] / "examples" / "association"
KEY = "rs-demo-harbour-jobs"
READY_TIMEOUT_SECONDS = 20.0


async def _start() -> StandinFleet:
    fleet = StandinFleet.start(seed=1)
    for number in range(REPLICAS):
        domain = DOMAINS[number % len(DOMAINS)]
        fleet.add_engine(f"adverts-{number}", "adverts", EngineSettings(), domain)
    for number in range(SERVICE_REPLICAS):
        fleet.add_service(f"board-{number}", "board", DOMAINS[number])
    fleet.configure(load_objects(EXAMPLES))
    for domain in DOMAINS:
        await fleet.add_node(domain)
    await _wait_until_ready(fleet)
    return fleet


async def _wait_until_ready(fleet: StandinFleet) -> None:
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while not all(_is_ready(node, len(fleet.nodes)) for node in fleet.nodes):
            await asyncio.sleep(0.05)


def _is_ready(node, count: int) -> bool:
    members = len(node.membership.table.usable())
    return not node.not_ready() and members == count and bool(node.directory.all())


async def _send_request(fleet: StandinFleet) -> str:
    node = fleet.nodes[0]
    body = {
        "model": "adverts",
        "stream": True,
        "messages": [{"role": "user", "content": "Write an advert for a crane driver."}],
        "metadata": {"output_tokens": "40"},
    }
    request = HTTPRequest(
        f"http://{node.settings.node_ip}:{node.settings.caller_port}/v1/chat/completions",
        method="POST",
        headers={"Authorization": f"Bearer {KEY}"},
        body=json.dumps(body),
    )
    response = await AsyncHTTPClient().fetch(request)
    events = response.body.decode().strip().split("\n\n")
    print(f"status {response.code}, {len(events)} events, the last one:")
    print(events[-1])
    return response.headers["X-Request-Id"]


def _show_time_line(fleet: StandinFleet, request: str) -> None:
    logs = [node.events.select(request) for node in fleet.nodes]
    time_line = merge_logs(logs)
    started_at = stamp_seconds(time_line[0].stamp)
    rows = []
    for event in time_line:
        elapsed_ms = (stamp_seconds(event.stamp) - started_at) * 1000
        rows.append({"ms": f"{elapsed_ms:.0f}", "node": event.node, "kind": event.kind})
        rows[-1]["detail"] = event.description
    print(f"\nthe time line of {request}:")
    show(rows, ("ms", "node", "kind", "detail"), "table")


async def _run() -> None:
    fleet = await _start()
    version = fleet.nodes[0].carrier.catalog.version
    print(f"{len(fleet.nodes)} daemons are ready, configuration version {version}")
    request = await _send_request(fleet)
    _show_time_line(fleet, request)
    await fleet.stop()


def main() -> None:
    """Run the demonstration."""
    configure_logs("error", "demo")
    asyncio.run(_run())


if __name__ == "__main__":
    main()
