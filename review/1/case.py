"""An operator rotates the keys of a tenant, which has more than 64 keys for a while."""

import asyncio
import os
import sys
import time
from pathlib import Path

from fleet import BOUNDS, REPLICA_IPS, Fleet, free_ports, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The keys that are added before the old one is removed.
NEW_KEYS = 70 if TROUBLE else 10
OLD_KEY = "old-key"
OTHER_KEY = "key-of-two"
ROUNDS = 10
ROUND_SECONDS = 0.5
RECOVERY_ROUNDS = 16


def configuration(version: int, keys: list[str]) -> dict:
    """Return the configuration of the operator."""
    route = {"name": "status", "host": "a.example", "path_prefix": "/status/"}
    route |= {"kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 400, "priority": 1}
    route |= {"service": "desk", "max_attempts": 1, "anonymous": False}
    tenants = [{"name": "one", "api_keys": keys}, {"name": "two", "api_keys": [OTHER_KEY]}]
    services = [{"name": "desk", "health_path": "/healthz", "max_conns": 300}]
    return {
        "version": version,
        "routes": [route],
        "services": services,
        "limits": {},
        "tenants": tenants,
    }


async def send(fleet: Fleet, label: str, key: str) -> dict[str, int]:
    """Send a request with ``key`` to each daemon; return the statuses by request id."""
    statuses = {}
    for number, daemon in enumerate(fleet.daemons):
        request_id = f"{label}-{number}"
        answer = await fleet.request(
            daemon, request_id, "/status/", 2.0, Authorization=f"Bearer {key}"
        )
        statuses[request_id] = answer.status if answer is not None else 0
    return statuses


async def change(fleet: Fleet, version: int, keys: list[str]) -> bool:
    """Give tenant one ``keys``; return True once the store has acknowledged it."""
    acknowledged = await fleet.put("config", "main", configuration(version, keys))
    fleet.record(f"configuration {version} with {len(keys)} keys of tenant one: {acknowledged}")
    return acknowledged


async def check_config(fleet: Fleet, new_keys: list[str]) -> int:
    """Apply CONFIG: return how many requests were handled as only an older version allows."""
    old, new = {}, {}
    for number in range(ROUNDS):
        old |= await send(fleet, f"old-{number}", OLD_KEY)
        new |= await send(fleet, f"new-{number}", new_keys[number % len(new_keys)])
        await asyncio.sleep(ROUND_SECONDS)
    ran = {run["id"] for run in fleet.runs() if run["event"] == "run"}
    with_dropped_key = sorted(set(old) & ran)
    refused = sorted(request_id for request_id, status in new.items() if status in (401, 403))
    fleet.record(f"CONFIG: {len(with_dropped_key)} of {len(old)} ran with the dropped key")
    fleet.record(f"CONFIG: {len(refused)} of {len(new)} with a key that is there were refused")
    return len(with_dropped_key) + len(refused)


async def check_recovery(fleet: Fleet) -> bool:
    """Apply RECOVER after all processes were killed; return True if it is broken."""
    fleet.record("all daemons are killed")
    for daemon in fleet.daemons:
        fleet.kill(daemon.process)
    for daemon in fleet.daemons:
        fleet.start_daemon(daemon)
    fleet.record("all daemons are started again")
    await asyncio.sleep(BOUNDS["recover_s"])
    statuses = {}
    for number in range(RECOVERY_ROUNDS):
        statuses |= await send(fleet, f"again-{number}", OTHER_KEY)
        await asyncio.sleep(ROUND_SECONDS / 2)
    served = sum(status == 200 for status in statuses.values())
    fleet.record(f"RECOVER: {served} of {len(statuses)} requests of tenant two were served")
    return served < len(statuses) / 4


async def main(fleet: Fleet) -> int:
    """Run the case."""
    fleet.start_store()
    await asyncio.sleep(1.0)
    if not await change(fleet, 3, [OLD_KEY]):
        return 2
    (port,) = free_ports(1)
    for copy in (1, 2):
        fleet.start_replica(f"i-{copy}", "desk", f"{REPLICA_IPS}{copy}:{port}", f"zone-{copy}")
    fleet.add_daemons(["zone-1", "zone-2", "zone-3"])
    for daemon in fleet.daemons:
        fleet.start_daemon(daemon)
    if not await fleet.wait_ready(20.0):
        return 2
    await asyncio.sleep(3.0)
    before = await send(fleet, "before", OLD_KEY) | await send(fleet, "before-two", OTHER_KEY)
    if set(before.values()) != {200}:
        return 2
    new_keys = [f"new-key-{number}" for number in range(NEW_KEYS)]
    if not await change(fleet, 5, [OLD_KEY, *new_keys]):
        return 2
    await asyncio.sleep(1.0)
    if not await change(fleet, 8, new_keys):
        return 2
    acknowledged_at = time.monotonic()
    await asyncio.sleep(BOUNDS["config_ms"] / 1000 + 0.5)
    fleet.record(f"{time.monotonic() - acknowledged_at:.1f} s after the acknowledgement")
    handled_by_old_version = await check_config(fleet, new_keys)
    not_recovered = await check_recovery(fleet)
    return 1 if handled_by_old_version or not_recovered else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, main))
