"""Requests in flight get their whole answer, or a truthful refusal, beside planned work.

Planned work is a change of the configuration, a reload of the settings and a planned stop. A
request goes on by the configuration with which it began, whatever becomes of its key, its route or
its service in the meantime.
"""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from railsail.conf.values import parse_endpoint
from railsail.core.events import Kind
from railsail.node import TAKEOVER_SECONDS, Node
from railsail.routing import context
from tests.platform.base import (
    KEY,
    LONG_MS,
    ROUTES,
    Answer,
    PlatformTestCase,
    configuration,
)
from tests.platform.standins import SEAL, Received, ReplicaStandin, answering, head
from tests.platform.streams import events_of

EVENTS = 6
EVENTS_BEFORE_GATE = 2
BODY = b"hello"
PLAIN = ("once", "again", "public")
STREAMS = ("stream", "resume")
REPEATABLE = ("again", "public", "resume")
NEW_KEY = "a-new-key"
SLOTS = 16
SHORT_MS = 50
SILENCE_SECONDS = 0.2
# Requests that take all room of a replica with one slot, and more.
FILLERS = ("once",) * 4
Change = Callable[[dict], None]


class GatedReplica(ReplicaStandin):
    """A replica that goes on with its answers once ``gate`` is set.

    Streams have a few events before that.
    """

    def __post_init__(self) -> None:
        super().__post_init__()
        self.gate = asyncio.Event()
        self.script = self._answer

    async def _answer(self, replica: ReplicaStandin, received: Received, writer) -> None:
        if received.line.split("/")[1] in STREAMS:
            await self._stream(received, writer)
            return
        await self.gate.wait()
        await answering(BODY)(self, received, writer)

    async def _stream(self, received: Received, writer) -> None:
        kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        writer.write(head(received, Response_Seal=f"{SEAL}-{self.name}", **kind))
        for number in range(int(received.headers.get("Last-Event-Id", "-1")) + 1, EVENTS):
            if number == EVENTS_BEFORE_GATE:
                await self.gate.wait()
            await self.until_resumed()
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _route(value: dict, name: str) -> dict:
    return next(route for route in value["routes"] if route["name"] == name)


def _all_routes(**fields: object) -> Change:
    def change(value: dict) -> None:
        for route in value["routes"]:
            route.update(fields)

    return change


def _tenant(**fields: object) -> Change:
    def change(value: dict) -> None:
        value["tenants"][0].update(fields)

    return change


def _whole(**fields: object) -> Change:
    def change(value: dict) -> None:
        value.update(fields)

    return change


def _without_tenants(value: dict) -> None:
    del value["tenants"]


def _kinds_swapped(value: dict) -> None:
    for route in value["routes"]:
        route["kind"] = "non_idempotent" if route["kind"] == "idempotent" else "idempotent"


def _many_routes(value: dict) -> None:
    like = value["routes"][0]
    prefixes = [f"/added-{number}/" for number in range(3500)]
    value["routes"] += [like | {"name": prefix, "path_prefix": prefix} for prefix in prefixes]


BOTH = [{"service": "desk", "weight": 1.0}, {"service": "other", "weight": 9.0}]
CHANGES: dict[str, Change] = {
    "key added": _tenant(api_keys=[KEY, NEW_KEY]),
    "key removed": _tenant(api_keys=[NEW_KEY]),
    "tenant removed": _whole(tenants=[{"name": "two", "api_keys": [NEW_KEY]}]),
    "tenant renamed": _tenant(name="two"),
    "all tenants removed": _whole(tenants=[]),
    "list of tenants removed": _without_tenants,
    "tenant of no region": _tenant(allowed_regions=[]),
    "routes of no region": _all_routes(allowed_regions=[]),
    "tenant of another rank": _tenant(priority=7),
    "tenant of another region": _tenant(allowed_regions=["elsewhere"]),
    "tenant that cannot be used": _tenant(name="one\n"),
    "routes moved to another service": _all_routes(service="other"),
    "weights of routes": _all_routes(service="", backends=BOTH),
    "no weight left for the service": _all_routes(
        service="", backends=[{"service": "desk", "weight": 0.0}, BOTH[1]]
    ),
    "routes removed": _whole(routes=[]),
    "routes that cannot be used": _all_routes(timeout_ms=0),
    "other prefixes": _all_routes(path_prefix="/elsewhere/"),
    "other host": _all_routes(host="b.example"),
    "shorter timeout": _all_routes(timeout_ms=LONG_MS // 2),
    "shorter objective": _all_routes(slo_ms=10),
    "fewer attempts": _all_routes(max_attempts=1),
    "other kinds": _kinds_swapped,
    "routes need a key": _all_routes(anonymous=False),
    "services removed": _whole(services=[]),
    "service that cannot be used": _whole(services=[{"name": "desk", "engine": 7}]),
    "service with a cold start": _whole(
        services=[{"name": "desk", "cold_start_s": 60.0, "warmup_per_s": 0.1}]
    ),
    "service with slots of its own": _whole(services=[{"name": "desk", "engine": {"slots": 1}}]),
    "many routes": _many_routes,
    "many keys": _tenant(api_keys=[KEY, *(f"key-{number}" for number in range(15_000))]),
    "all at once": _whole(routes=[], services=[], tenants=[]),
}


class PlannedWorkTestCase(PlatformTestCase):
    """A daemon whose requests wait for gated replicas for as long as a test needs."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        long = {"slo_ms": LONG_MS, "timeout_ms": LONG_MS}
        for name in (*PLAIN, *STREAMS):
            self.hold(mock.patch.dict(ROUTES[name], long))
        self.version = 3
        self.sent = 0

    async def start(self, *slots: int, **settings: str) -> Node:
        """Start a gated replica with each number of ``slots``, and a daemon."""
        for number in slots:
            await self.add_gated_replica(number)
        node = await self.serve(**settings)
        self.hold_lag(node)
        # As if it had run for a while: a new process has no share of the retry slack.
        node.front._relay._started_at -= 1000.0
        return node

    async def add_gated_replica(self, slots: int, **fields: object) -> GatedReplica:
        replica = GatedReplica(f"i-{len(self.replicas)}", answering())
        await replica.start()
        self.addCleanup(replica.stop)
        self.replicas.append(replica)
        self.list_replica(replica, "ready", slots, **fields)
        return replica

    async def configure(self, *changes: Change) -> None:
        """Put a configuration that is changed by ``changes`` into force at all daemons."""
        self.put(*changes)
        for node in self.nodes:
            await self.until(lambda node=node: node.carrier.catalog.version == self.version)

    def put(self, *changes: Change) -> None:
        """Put a configuration that is changed by ``changes`` into the store."""
        self.version += 1
        value = configuration(self.version)
        for change in changes:
            change(value)
        self.store.put("config", "main", value)

    def send(self, node: Node, *routes: str) -> dict[str, asyncio.Task]:
        """Send a request on each of ``routes``, and return their answers to come by id."""
        calls = {}
        for route in routes:
            self.sent += 1
            name = f"{route}-{self.sent}"
            call = self.call(node, f"/{route}/", Request_Id=name, Deadline_Ms=str(LONG_MS))
            calls[name] = asyncio.ensure_future(call)
        return calls

    async def send_until_running(self, node: Node, *routes: str) -> dict[str, asyncio.Task]:
        """Send a request on each of ``routes``, and wait until all of them run."""
        calls = self.send(node, *routes)
        await self.until(lambda: calls.keys() <= self.received_ids())
        return calls

    async def send_until_waiting(self, node: Node, *routes: str) -> dict[str, asyncio.Task]:
        """Fill the replicas, send a request on each of ``routes``, and wait until those wait."""
        calls = self.send(node, *FILLERS)
        await self.until(lambda: len(node.tickets) == len(calls) and node.tickets.waiting())
        waiting = self.send(node, *routes)
        await self.until(lambda: waiting.keys() <= self.waiting_ids(node))
        return calls | waiting

    def waiting_ids(self, node: Node) -> set[str]:
        return {call.want.request_id for call in node.tickets.waiting()}

    def received_ids(self) -> set[str]:
        return {got.headers["Request-Id"] for got in self.received()}

    def received(self) -> list[Received]:
        return [got for replica in self.replicas for got in replica.received]

    async def restart_gates(self) -> None:
        """Let replicas hold their answers again, beside a configuration without changes."""
        for replica in self.replicas:
            replica.gate.clear()
        await self.configure()

    def go_on(self) -> None:
        """Let the replicas go on with all answers."""
        for replica in self.replicas:
            replica.gate.set()

    async def assert_whole(self, calls: dict[str, asyncio.Task], most_runs: int = 1) -> None:
        """Wait for the answers, and check that each is whole.

        Requests that may be repeated have at most so many runs, and the others one.
        """
        answers = dict(zip(calls, await asyncio.gather(*calls.values()), strict=True))
        for name, answer in answers.items():
            self.assertEqual((name, answer.status, answer.whole), (name, 200, True))
            self.assert_body(name, answer)
            runs = [got for got in self.received() if got.headers["Request-Id"] == name]
            repeatable = name.split("-")[0] in REPEATABLE
            self.assertIn(len(runs), range(1, most_runs + 1 if repeatable else 2), name)

    def assert_body(self, name: str, answer: Answer) -> None:
        if name.split("-")[0] in STREAMS:
            self.assertEqual([number for number, _ in events_of(answer.body)], [*range(EVENTS)])
        else:
            self.assertEqual(answer.body, BODY)


class ChangeTests(PlannedWorkTestCase):
    async def assert_each_change_is_borne(self, node: Node, silent: bool = False) -> None:
        for name, change in CHANGES.items():
            with self.subTest(change=name):
                await self.restart_gates()
                calls = await self.send_until_running(node, *PLAIN, *STREAMS)
                if silent:
                    self.replicas[0].pause()
                await self.configure(change)
                self.replicas[0].resume()
                self.go_on()
                await self.assert_whole(calls)

    async def test_running_requests_outlast_each_change(self):
        await self.assert_each_change_is_borne(await self.start(SLOTS))

    async def test_requests_of_a_replica_that_is_silent_outlast_each_change(self):
        await self.assert_each_change_is_borne(await self.start(SLOTS), silent=True)

    async def test_waiting_requests_outlast_each_change(self):
        node = await self.start(1)
        for name, change in CHANGES.items():
            with self.subTest(change=name):
                await self.restart_gates()
                calls = await self.send_until_waiting(node, *PLAIN, *STREAMS)
                await self.configure(change)
                self.go_on()
                await self.assert_whole(calls)

    async def test_requests_outlast_changes_in_quick_succession(self):
        node = await self.start(1)
        calls = await self.send_until_waiting(node, *PLAIN, *STREAMS)
        self.replicas[0].pause()
        for change in CHANGES.values():
            self.put(change)
            await asyncio.sleep(0)
        await self.configure()
        self.replicas[0].resume()
        self.go_on()
        await self.assert_whole(calls)

    async def test_request_keeps_the_timeout_with_which_it_began(self):
        node = await self.start(SLOTS)
        calls = await self.send_until_running(node, *PLAIN, *STREAMS)
        await self.configure(_all_routes(timeout_ms=SHORT_MS))
        await asyncio.sleep(2 * SHORT_MS / 1000)
        self.go_on()
        await self.assert_whole(calls)

    async def test_stream_is_continued_after_its_key_its_route_and_its_service_are_gone(self):
        node = await self.start(SLOTS)
        calls = await self.send_until_running(node, "resume")
        await self.add_gated_replica(SLOTS)
        self.replicas[1].gate.set()
        await self.until(lambda: len(node.directory.all()) == len(self.replicas))
        await self.configure(CHANGES["all at once"])
        self.replicas[0].crash()
        ((name, call),) = calls.items()
        answer = await call
        self.assertTrue(answer.whole)
        self.assert_body(name, answer)

    async def test_request_is_repeated_after_its_key_its_route_and_its_service_are_gone(self):
        node = await self.start(SLOTS)
        calls = await self.send_until_running(node, "again")
        await self.add_gated_replica(SLOTS)
        self.replicas[1].gate.set()
        await self.until(lambda: len(node.directory.all()) == len(self.replicas))
        await self.configure(CHANGES["all at once"])
        self.replicas[0].crash()
        (call,) = calls.values()
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, BODY))

    async def test_requests_that_are_read_while_the_configuration_changes_are_answered(self):
        node = await self.start(SLOTS)
        self.go_on()
        for name, change in CHANGES.items():
            with self.subTest(change=name):
                await self.configure()
                self.put(change)
                calls = self.send(node, *PLAIN, *STREAMS)
                await self.until(lambda: node.carrier.catalog.version == self.version)
                calls |= self.send(node, *PLAIN, *STREAMS)
                for answer in await asyncio.gather(*calls.values()):
                    self.assertTrue(answer.whole)
                    self.assertIn(answer.status, (200, 401, 404, 503))


class SilenceTests(PlannedWorkTestCase):
    """Replicas are silent for longer than is usual, beside planned work."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hold(mock.patch.object(context, "MIN_SILENCE_TIMEOUT_SECONDS", SILENCE_SECONDS))
        # Not by a short objective of the routes, which also bounds how long a request may wait for
        # a replica: on a busy machine, requests were refused before they were silent anywhere.
        self.hold(mock.patch.object(context, "SILENCE_TIMEOUT_OBJECTIVES", 0.0))
        for name in REPEATABLE:
            self.hold(mock.patch.dict(ROUTES[name], {"gap_slo_ms": 10}))

    def silent(self, node: Node) -> int:
        """Return how often a replica fell silent under a request."""
        events = [event for event in node.events if event.kind is Kind.SILENT]
        return sum("end" not in event.facts for event in events)

    async def start_silent(self, *paused: int) -> tuple[Node, dict[str, asyncio.Task]]:
        """Serve requests at two replicas, of which the ones with these numbers are silent."""
        node = await self.start(SLOTS, SLOTS)
        calls = await self.send_until_running(node, *(PLAIN + STREAMS) * 4)
        for number in paused:
            self.replicas[number].pause()
        self.go_on()
        await self.until(lambda: self.silent(node))
        return node, calls

    async def go_on_later(self) -> None:
        await asyncio.sleep(2 * SILENCE_SECONDS)
        for replica in self.replicas:
            replica.resume()

    async def test_changes_beside_the_silence_of_one_replica(self):
        _, calls = await self.start_silent(0)
        for change in CHANGES.values():
            await self.configure(change)
        await self.go_on_later()
        await self.assert_whole(calls, most_runs=2)

    async def test_changes_beside_the_silence_of_all_replicas(self):
        _, calls = await self.start_silent(0, 1)
        for change in CHANGES.values():
            await self.configure(change)
        await self.go_on_later()
        await self.assert_whole(calls, most_runs=2)

    async def test_reload_beside_the_silence_of_all_replicas(self):
        node, calls = await self.start_silent(0, 1)
        node.reload(node.settings)
        await self.go_on_later()
        await self.assert_whole(calls, most_runs=2)

    async def test_stop_beside_the_silence_of_one_replica(self):
        node, calls = await self.start_silent(0)
        stopping = asyncio.ensure_future(node.drain())
        await self.go_on_later()
        await self.assert_whole(calls, most_runs=2)
        await stopping

    async def test_stop_beside_the_silence_of_all_replicas(self):
        node, calls = await self.start_silent(0, 1)
        stopping = asyncio.ensure_future(node.drain())
        await self.go_on_later()
        await self.assert_whole(calls, most_runs=2)
        await stopping


class FleetTests(PlannedWorkTestCase):
    """Requests of one daemon that wait or run at another one."""

    async def start_fleet(self, *slots: int) -> tuple[Node, Node]:
        """Start a daemon that does not dispatch, and one that does; return them in this order."""
        first = await self.start(*slots)
        second = await self.add_node(seeds=first.hub.own.node)
        self.hold_lag(second)
        await self.until(lambda: not second.not_ready())
        for one, peer in ((first, second), (second, first)):
            await self.until(lambda one=one, peer=peer: one.hub.connected(peer.hub.own.node))
            await self.until(lambda one=one: len(one.view.usable()) == 2)
            await self.until(lambda one=one: len(one.directory.all()) == len(self.replicas))
        await self.until(lambda: len({self.dispatcher(node) for node in self.nodes}) == 1)
        entry, dispatcher = first, second
        if self.dispatcher(first) == first.hub.own.node:
            entry, dispatcher = second, first
        return entry, dispatcher

    def dispatcher(self, node: Node) -> str:
        (cell,) = node.cells.cells("desk")
        return node.cells.dispatcher(cell)

    async def test_requests_that_wait_at_another_daemon_outlast_each_change(self):
        entry, _ = await self.start_fleet(1)
        for name, change in CHANGES.items():
            with self.subTest(change=name):
                await self.restart_gates()
                calls = await self.send_until_waiting(entry, *PLAIN, *STREAMS)
                await self.configure(change)
                self.go_on()
                await self.assert_whole(calls)

    async def test_requests_that_are_forwarded_outlast_each_change(self):
        entry, other = await self.start_fleet(SLOTS)
        entry.front._offloader._limit.limit = 0.0
        for name, change in CHANGES.items():
            with self.subTest(change=name):
                await self.restart_gates()
                calls = await self.send_until_running(entry, *PLAIN, *STREAMS)
                self.assertEqual(other.admission.total, len(calls))
                await self.configure(change)
                self.go_on()
                await self.assert_whole(calls)

    async def test_requests_that_are_forwarded_outlast_the_stop_of_either_daemon(self):
        entry, other = await self.start_fleet(SLOTS)
        entry.front._offloader._limit.limit = 0.0
        calls = await self.send_until_running(entry, *PLAIN, *STREAMS)
        self.assertEqual(other.admission.total, len(calls))
        stopping = asyncio.gather(entry.drain(), other.drain())
        await asyncio.sleep(TAKEOVER_SECONDS)
        self.go_on()
        await self.assert_whole(calls)
        await stopping

    async def test_requests_outlast_the_stop_of_the_daemon_where_their_tickets_wait(self):
        entry, dispatcher = await self.start_fleet(1)
        calls = await self.send_until_waiting(entry, *PLAIN, *STREAMS)
        await dispatcher.drain()
        await dispatcher.stop()
        self.go_on()
        await self.assert_whole(calls)

    async def test_requests_of_a_daemon_that_stops_outlast_it_though_they_wait_elsewhere(self):
        entry, _ = await self.start_fleet(1)
        calls = await self.send_until_waiting(entry, *PLAIN, *STREAMS)
        stopping = asyncio.ensure_future(entry.drain())
        await self.until(entry.not_ready)
        await self.configure(CHANGES["all at once"])
        self.go_on()
        await self.assert_whole(calls)
        await stopping
        await entry.stop()

    async def test_requests_of_the_daemon_that_dispatches_outlast_its_stop(self):
        _, dispatcher = await self.start_fleet(1)
        calls = await self.send_until_waiting(dispatcher, *PLAIN, *STREAMS)
        stopping = asyncio.ensure_future(dispatcher.drain())
        await self.until(dispatcher.not_ready)
        self.go_on()
        await self.assert_whole(calls)
        await stopping
        await dispatcher.stop()


class StopTests(PlannedWorkTestCase):
    async def test_running_requests_outlast_a_stop(self):
        node = await self.start(SLOTS)
        calls = await self.send_until_running(node, *PLAIN, *STREAMS)
        stopping = asyncio.ensure_future(node.drain())
        await self.until(node.not_ready)
        self.go_on()
        await self.assert_whole(calls)
        await stopping

    async def test_requests_of_a_replica_that_is_silent_outlast_a_stop(self):
        node = await self.start(SLOTS)
        calls = await self.send_until_running(node, *PLAIN, *STREAMS)
        self.replicas[0].pause()
        stopping = asyncio.ensure_future(node.drain())
        await asyncio.sleep(TAKEOVER_SECONDS)
        self.replicas[0].resume()
        self.go_on()
        await self.assert_whole(calls)
        await stopping

    async def test_waiting_requests_outlast_a_stop_beside_changes(self):
        node = await self.start(1)
        calls = await self.send_until_waiting(node, *PLAIN, *STREAMS)
        stopping = asyncio.ensure_future(node.drain())
        await self.until(node.not_ready)
        for change in CHANGES.values():
            self.put(change)
            await asyncio.sleep(0)
        await self.configure()
        self.go_on()
        await self.assert_whole(calls)
        await stopping


class EndOfStopTests(PlannedWorkTestCase):
    async def test_request_that_waits_until_the_end_of_a_stop_is_refused(self):
        """It was cut without an answer, though it had not run and a refusal says so."""
        node = await self.start(1, drain_seconds="1")
        calls = await self.send_until_waiting(node, *PLAIN, *STREAMS)
        waiting = self.waiting_ids(node)
        await node.drain()
        await node.stop()
        answers = dict(zip(calls, await asyncio.gather(*calls.values()), strict=True))
        for name in waiting:
            self.assertEqual((name, answers[name].status), (name, 503))
            self.assertIn("Retry-After", answers[name].headers)
        self.assertFalse(waiting & self.received_ids())


class ReloadTests(PlannedWorkTestCase):
    async def test_requests_outlast_a_reload_of_the_settings(self):
        node = await self.start(SLOTS, 1)
        changes = (
            {},
            {"seeds": node.settings.seeds},
            {"retry_ratio": 0.0, "drain_seconds": 0.0, "max_body_bytes": 1024},
        )
        for number, fields in enumerate(changes):
            with self.subTest(change=number):
                await self.restart_gates()
                calls = await self.send_until_running(node, *PLAIN, *STREAMS)
                self.replicas[0].pause()
                node.reload(replace(node.settings, **fields))
                self.replicas[0].resume()
                self.go_on()
                await self.assert_whole(calls)

    async def test_waiting_requests_outlast_a_reload_that_adds_seeds(self):
        node = await self.start(1)
        other = await self.add_node()
        calls = await self.send_until_waiting(node, *PLAIN, *STREAMS)
        peer = other.hub.own.node
        node.reload(replace(node.settings, seeds=(parse_endpoint(peer),)))
        await self.until(lambda: node.hub.connected(peer) and len(node.view.usable()) == 2)
        self.go_on()
        await self.assert_whole(calls)


if __name__ == "__main__":
    unittest.main()
