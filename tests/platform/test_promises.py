"""The checks of a soak find what breaks a promise, and nothing where none is broken."""

import tempfile
import unittest
from pathlib import Path

from benchmarks import promises
from benchmarks.streams import EVENTS, CallerStream
from tests.platform.orders import FIRST, KIND, SERVICE, UNUSED, Order, Orders
from tests.platform.processes import Daemon, MadeCall, ProcessFleet
from tests.platform.standins import Received, ReplicaStandin, StoreAccess
from tests.platform.versions import Fault, SoftwareVersion

NORTH = ("domain-0",)
SPEC = {"service": SERVICE, "target_version": "v1", "duration_s": 10.0}


class PromisesTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = ProcessFleet(Path(folder.name))
        self.addCleanup(self.fleet.store.stop)
        self.fleet.store.put(KIND, UNUSED, SPEC | {"service": UNUSED})
        self.daemon = Daemon("127.0.1.10", [1, 2, 3], "domain-0", StoreAccess(1), Path())
        self.order = Order(SoftwareVersion("v1", Fault.FAILS), 10.0, "none", 100.0)
        versions = [SoftwareVersion(FIRST), self.order.version]
        self.orders = Orders(self.fleet, None, NORTH, [self.order], versions)

    def found(self) -> list[str]:
        return promises.findings(self.fleet, self.orders, NORTH)

    def receive(self, name: str, at: float, zone: str = "domain-0", well_since: float = 0.0):
        """Let a replica of the ordered version in ``zone`` get a request."""
        replica = ReplicaStandin(f"i-{len(self.fleet.replicas)}", None)
        replica.received.append(Received("", {"Request-Id": name}, b"", at))
        self.fleet.replicas.append(replica)
        self.fleet.zones[replica.name] = zone
        self.fleet.versions[replica.name] = "v1"
        self.fleet.calls[name] = MadeCall(self.daemon, "/once/", well_since)
        self.order.version.arrivals.append(at)

    def put_states(self, *states: str) -> None:
        for state in states:
            status = {"state": state, "target_version": "v1"}
            self.fleet.store.put_status(KIND, SERVICE, status)

    async def test_request_that_ran_twice(self):
        self.receive("o-1", 101.0)
        self.assertEqual(self.found(), [])
        self.receive("o-1", 102.0)
        self.assertEqual(self.found(), ["o-1 ran 2 times"])

    async def test_request_refused_as_not_run_that_ran(self):
        self.receive("o-1", 101.0)
        self.fleet.calls["o-1"].status = 503
        self.assertEqual(len(self.found()), 1)

    async def test_request_sent_out_of_its_region(self):
        self.receive("o-1", 101.0, "domain-2")
        self.assertEqual(self.found(), [])
        self.receive("n-1", 101.0, "domain-2")
        self.assertEqual(len(self.found()), 1)

    async def test_version_that_received_more_than_its_share_and_the_slack(self):
        self.orders.versions[0].arrivals += [105.0] * 940 + [99.0, 111.0] * 500
        self.order.version.arrivals += [105.0] * 160
        self.assertEqual(self.found(), [])
        self.order.version.arrivals += [105.0, 111.0, 112.0]
        self.assertEqual(len(self.found()), 1)

    async def test_requests_to_a_version_known_to_be_bad(self):
        self.order.version.bad_answers += [101.0] * 50
        self.receive("o-1", 105.9)
        self.receive("o-2", 106.1, well_since=102.0)
        self.assertEqual(self.found(), [])
        self.receive("o-3", 106.1)
        self.assertEqual(len(self.found()), 1)

    async def test_wrong_ends(self):
        self.order.ended, self.order.ended_at = "rolled_back", 105.0
        self.assertEqual(self.found(), [])
        self.order.ended = "succeeded"
        self.assertEqual(len(self.found()), 1)

    async def test_good_version_that_is_rolled_back(self):
        self.order.version.fault = Fault.NONE
        self.order.ended, self.order.ended_at = "rolled_back", 105.0
        self.assertEqual(len(self.found()), 1)
        self.fleet.disturbed_at.append(103.0)
        self.assertEqual(self.found(), [])

    async def test_status_that_changes_after_an_end(self):
        self.fleet.store.put(KIND, SERVICE, SPEC)
        self.put_states("running", "rolled_back")
        self.fleet.store.put(KIND, SERVICE, SPEC | {"duration_s": -1})
        self.assertEqual(self.found(), [])
        self.put_states("running")
        self.assertEqual(len(self.found()), 1)

    async def test_status_of_an_order_that_follows(self):
        self.fleet.store.put(KIND, SERVICE, SPEC)
        self.put_states("running", "rolled_back")
        self.fleet.store.put(KIND, SERVICE, SPEC | {"duration_s": 5.0})
        self.put_states("running", "succeeded")
        self.assertEqual(self.found(), [])

    async def test_end_of_a_version_that_nobody_called(self):
        status = {"state": "succeeded", "target_version": "u1"}
        self.fleet.store.put_status(KIND, UNUSED, status)
        self.assertEqual(len(self.found()), 1)


class StreamPromisesTests(unittest.TestCase):
    def found(self, *answers: list[tuple[int, str]], whole: bool = False) -> list[str]:
        bodies = [
            "".join(f"id: {number}\ndata: {version}\n\n" for number, version in answer).encode()
            for answer in answers
        ]
        stream = CallerStream("s-1", bodies, [f"node-{n}" for n in range(len(bodies))], whole=whole)
        return promises.stream_findings([stream])

    def test_stream_that_goes_on_where_it_was(self):
        self.assertEqual(self.found([(0, "v1"), (1, "v1")], [], [(2, "v1")]), [])

    def test_stream_that_goes_on_at_another_version(self):
        finding = "s-1 has events of two versions: (0, 'v1') to (1, 'v1') by node-0, "
        finding += "(2, 'v2') to (3, 'v2') by node-1"
        answers = [[(0, "v1"), (1, "v1")], [(2, "v2"), (3, "v2")]]
        self.assertEqual(self.found(*answers), [finding])

    def test_stream_joined_within_one_answer(self):
        self.assertEqual(len(self.found([(0, "v1"), (1, "v2")])), 1)

    def test_events_that_are_missing_or_repeated_where_a_stream_goes_on(self):
        self.assertEqual(len(self.found([(0, "v1"), (1, "v1")], [(1, "v1")])), 1)
        self.assertEqual(len(self.found([(0, "v1"), (1, "v1")], [(3, "v1")])), 1)

    def test_stream_that_ends_before_its_last_event(self):
        events = [(number, "v1") for number in range(EVENTS)]
        self.assertEqual(self.found(events, whole=True), [])
        self.assertEqual(len(self.found(events[:-1], whole=True)), 1)


if __name__ == "__main__":
    unittest.main()
