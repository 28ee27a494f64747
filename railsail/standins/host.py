"""Serve stand-ins in a process of their own.

The only argument is a JSON list of parts, each ``{"part": "store" | "engine" | "service", "name":
..., "ip": ..., "port": ...}``. An engine may also have ``"settings"`` with the fields of
``EngineSettings``, and a store the ``"seed"`` of its random faults.
"""

import asyncio
import json
import random
import signal
import sys

from railsail.standins.batching import EngineSettings
from railsail.standins.engine import serve_engine
from railsail.standins.service import serve_service
from railsail.standins.store import serve_store


def serve_part(part: dict) -> None:
    """Start to serve one part."""
    if part["part"] == "store":
        serve_store(part["ip"], part["port"], random.Random(part.get("seed", 1)))
    elif part["part"] == "engine":
        settings = EngineSettings(**part.get("settings", {}))
        serve_engine(part["name"], part["ip"], part["port"], settings)
    else:
        serve_service(part["name"], part["ip"], part["port"])


async def _run(parts: list[dict]) -> None:
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    for part in parts:
        serve_part(part)
    await stopped.wait()


def main() -> None:
    """Serve until SIGTERM."""
    asyncio.run(_run(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
