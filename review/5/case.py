"""The last keys are taken away, with the tenant that held them, while its client goes on."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import BOUNDS, KEY, TROUBLE, Fleet, route, run_case  # noqa: E402

DAEMONS = 3
OTHER_KEY = "asnmgkcuyj8pjbvk9m68"
NEVER_HELD = "a7x2k9d4m1q8v5z3c6t0"
# The time between two changes that take a key away.
GAP_SECONDS = 1.5
# Requests count that are sent later than ``config_ms`` after the acknowledgement.
MARGIN_SECONDS = 1.0
ROUNDS = 4


async def case(fleet: Fleet) -> bool:
    """Return True if a request is run with a key that the configuration in force doesn't hold."""
    routes = [route("status", "non_idempotent"), route("check", "idempotent", max_attempts=2)]
    held = {KEY, OTHER_KEY}
    fleet.configure(3, routes, tenants=[{"name": "one", "api_keys": [KEY, OTHER_KEY]}])
    await fleet.start(DAEMONS, replicas=2)
    for daemon in range(DAEMONS):
        await fleet.call(daemon, f"before-{daemon}", "/status/short")
    if TROUBLE:
        fleet.configure(5, routes, tenants=[{"name": "one", "api_keys": [KEY]}])
        await asyncio.sleep(GAP_SECONDS)
        fleet.configure(6, routes, tenants=[])
        held = set()
    await asyncio.sleep(BOUNDS["config_ms"] / 1000 + MARGIN_SECONDS)
    without_key = await call_all(fleet, held)
    run = {each["id"]: each for each in fleet.runs()}
    wrong = [request_id for request_id in without_key if request_id in run]
    for request_id in wrong:
        fleet.note(f"ROUTE, CONFIG: {request_id} was run: {run[request_id]}")
    return bool(wrong)


async def call_all(fleet: Fleet, held: set[str]) -> list[str]:
    """Call with each key at each daemon; return the requests whose key is not ``held``."""
    sent = []
    for count in range(ROUNDS):
        for daemon in range(DAEMONS):
            for name, key in (("revoked", KEY), ("never-held", NEVER_HELD), ("none", "")):
                request_id = f"{name}-{daemon}-{count}"
                authorization = f"Bearer {key}" if key else ""
                kind = "status" if count % 2 else "check"
                await fleet.call(daemon, request_id, f"/{kind}/short", Authorization=authorization)
                if key not in held:
                    sent.append(request_id)
    return sent


if __name__ == "__main__":
    run_case(case, FOLDER)
