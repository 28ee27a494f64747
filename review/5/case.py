"""A replica that leaves is taken away while it sends answers that end with their connections."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import TROUBLE, CannotRun, Fleet, route, run_case  # noqa: E402

DAEMONS = 3
REQUESTS = 12
# The pages say 2 s from the notice to the end. An answer takes 4 s.
NOTICE_SECONDS = 2.0
PART_SECONDS = 0.1


async def case(fleet: Fleet) -> bool:
    """Return True if a caller got a success whose body is not the replica's whole body."""
    fleet.configure(
        3,
        [route("status", "non_idempotent"), route("check", "idempotent", max_attempts=2)],
        tenants=[{"name": "one", "api_keys": ["k7b2ex5wa5xwyhks8nbk"]}],
    )
    await fleet.start(DAEMONS, replicas=2, part_seconds=PART_SECONDS)
    kinds = ("status", "check")
    calls = [
        asyncio.ensure_future(
            fleet.call(number % DAEMONS, f"r-{number}", f"/{kinds[number % 2]}/parts")
        )
        for number in range(REQUESTS)
    ]
    await asyncio.sleep(0.5)
    leaving = "i-0"
    if not any(run["replica"] == leaving for run in fleet.runs()):
        raise CannotRun("no request runs at the replica that is to leave")
    if TROUBLE:
        fleet.drain_replica(leaving)
        await asyncio.sleep(NOTICE_SECONDS)
        fleet.kill_replica(leaving)
    answers = await asyncio.gather(*calls)
    successes = [answer for answer in answers if answer.whole and 200 <= answer.status < 300]
    wrong = [answer for answer in successes if not answer.matches_seal]
    for answer in wrong:
        fleet.note(f"MIXED: {answer.request_id} is a success with {len(answer.body)} bytes")
    return bool(wrong)


if __name__ == "__main__":
    run_case(case, FOLDER)
