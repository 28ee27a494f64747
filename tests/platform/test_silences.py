"""The checks of silences find answers that are lost, and nothing where all is well."""

import tempfile
import unittest
from pathlib import Path

from benchmarks import soak
from benchmarks.silences import (
    DEADLINE_SECONDS,
    EVENTS,
    OK,
    CallerRequest,
    Ending,
    Replicas,
    Run,
    is_answered,
)
from tests.platform.processes import Daemon, ProcessFleet, Silence
from tests.platform.standins import StoreAccess

BAD_GATEWAY = 502
REFUSED = 503
REPLICA = "i-0"
OTHER = "i-1"


def events(numbers: range) -> bytes:
    return b"".join(f"id: {number}\ndata: v1\n\n".encode() for number in numbers)


class SilencesTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = ProcessFleet(Path(folder.name))
        self.addCleanup(self.fleet.store.stop)
        self.daemon = Daemon("127.0.1.10", [1, 2, 3], "domain-0", StoreAccess(1), Path())
        self.replicas = Replicas(self.fleet)

    def call(self, route: str = "again", seconds: float = 2.0, **fields: object) -> CallerRequest:
        """Return a request that was sent at 100 s, served if ``fields`` do not say otherwise."""
        given = {"connected": True, "whole": True, "status": OK} | fields
        return CallerRequest(f"{route}-1", route, self.daemon, 100.0, 100.0 + seconds, **given)

    def run_at(self, replica: str, began_at: float, ended_at: float, name: str = "again-1") -> None:
        self.replicas.runs.append(Run(name, replica, began_at, ended_at))

    def judge(self, *calls: CallerRequest) -> soak.SilenceFindings:
        return soak.judge(self.fleet, self.replicas, list(calls))

    async def test_endings(self):
        for expected, fields in (
            (Ending.SERVED, {}),
            (Ending.REFUSED, {"status": REFUSED}),
            (Ending.FAILED, {"status": BAD_GATEWAY}),
            (Ending.CUT, {"whole": False, "closed": True}),
            (Ending.UNANSWERED, {"whole": False}),
            (Ending.UNREACHED, {"connected": False, "whole": False}),
        ):
            with self.subTest(expected=expected):
                self.assertIs(self.call(**fields).ending, expected)

    async def test_wrong_events(self):
        whole = events(range(EVENTS))
        for wrong, body, is_whole in (
            (False, whole, True),
            (False, events(range(4)), False),
            (True, events(range(4)), True),
            (True, events(range(1, 4)), False),
            (True, whole + events(range(1)), True),
        ):
            with self.subTest(body=body[:20], is_whole=is_whole):
                call = self.call("resume", body=body, whole=is_whole, closed=not is_whole)
                self.assertIs(call.has_wrong_events, wrong)

    async def test_refusal_of_request_that_ran_is_no_answer(self):
        call = self.call(status=REFUSED)
        self.assertTrue(is_answered(call, {}))
        self.run_at(REPLICA, 100.0, 101.0)
        self.assertFalse(is_answered(call, self.replicas.by_request()))

    async def test_runs_at_once(self):
        self.run_at(REPLICA, 100.0, 103.0)
        self.run_at(OTHER, 102.0, 104.0)
        self.assertEqual(self.replicas.overlapping(), 1)

    async def test_run_beside_one_whose_replica_stands_still(self):
        self.run_at(REPLICA, 100.0, 103.0)
        self.run_at(OTHER, 102.0, 104.0)
        self.fleet.silences.append(Silence(REPLICA, 101.0, 102.9))
        self.assertEqual(self.replicas.overlapping(), 0)

    async def test_lost_answers(self):
        self.run_at(REPLICA, 100.0, 102.0)
        self.fleet.silences.append(Silence(REPLICA, 101.0, 102.5))
        for fields in ({"status": BAD_GATEWAY}, {"whole": False, "closed": True}, {"whole": False}):
            with self.subTest(fields=fields):
                found = self.judge(self.call(**fields))
                self.assertEqual((found.judged, found.struck), (1, 1))
                self.assertEqual(len(found.lost), 1)

    async def test_served_request_is_not_lost(self):
        found = self.judge(self.call())
        self.assertEqual((found.judged, found.struck, found.lost), (1, 0, []))

    async def test_request_beside_disturbed_daemons_is_not_judged(self):
        self.fleet.disturbed_at.append(101.0)
        self.assertEqual(self.judge(self.call(status=BAD_GATEWAY)).judged, 0)
        self.fleet.disturbed_at[:] = [99.9, 102.1]
        self.assertEqual(self.judge(self.call(status=BAD_GATEWAY)).judged, 1)

    async def test_request_that_silences_left_too_little_time(self):
        call = self.call(seconds=DEADLINE_SECONDS, whole=False, closed=True)
        self.run_at(REPLICA, 100.0, 108.0)
        self.fleet.silences.append(Silence(REPLICA, 101.0, 103.0))
        self.assertEqual(len(self.judge(call).lost), 1)
        self.fleet.silences.append(Silence(REPLICA, 104.0, 106.0))
        self.assertEqual(self.judge(call).lost, [])

    async def test_requests_that_ran_though_they_may_not(self):
        self.run_at(REPLICA, 100.0, 101.0, "once-1")
        self.run_at(OTHER, 101.0, 102.0, "once-1")
        self.assertEqual(self.judge(self.call("once")).violations, ["once-1 ran 2 times"])
        self.fleet.disturbed_at.append(101.0)
        refused = self.judge(self.call("once", status=REFUSED))
        self.assertEqual(len(refused.violations), 2)


if __name__ == "__main__":
    unittest.main()
