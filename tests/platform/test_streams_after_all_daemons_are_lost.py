"""Streams are resumed after all daemons were lost at once, each at the version that began it."""

from unittest import mock

from railsail.node import Node
from railsail.store.base import StoredObject
from railsail.streams import archive, part
from railsail.streams.recovery import RecoveredRecords
from railsail.streams.stored import KIND, PLACES_NAME
from tests.platform.streams import StreamingVersion, versions_of
from tests.platform.test_streams import STREAMS, ResumedStreamTestCase

DAEMONS = 3
PLATFORM_KIND = "railsail-streams"
UNKNOWN = "it is not certain where the stream began"


class LostFleetTestCase(ResumedStreamTestCase):
    """Daemons that all end without a word and come back; the replicas and the store stay."""

    async def serve_fleet(self) -> list[Node]:
        """Start the replicas and the daemons, and wait until all know each other."""
        node = await self.serve_versions()
        nodes = [node, *[await self.add_peer(node) for _ in range(DAEMONS - 1)]]
        await self.until_versions_stored({version.name for version in self.versions})
        return nodes

    async def until_versions_stored(self, versions: set[str]) -> None:
        """Wait until the store has exactly ``versions``."""
        await self.until(lambda: self.stored_versions() == versions)

    def stored_versions(self) -> set[str]:
        item = self.store.objects.get((PLATFORM_KIND, PLACES_NAME))
        return set(item["spec"]["versions"].get("desk", ())) if item else set()

    async def until_recorded(self, count: int) -> None:
        """Wait until the store has the records of ``count`` streams."""
        await self.until(lambda: len(self.stored_records()) == count)

    def stored_records(self) -> RecoveredRecords:
        objects = self.store.objects.items()
        return RecoveredRecords(
            StoredObject(KIND, name, 1, item["spec"])
            for (kind, name), item in objects
            if kind == PLATFORM_KIND
        )

    async def begin_everywhere(self, nodes: list[Node]) -> dict[str, bytes]:
        """Begin streams at all nodes."""
        begun = {}
        for number, node in enumerate(nodes):
            begun |= await self.begin(node, STREAMS // 2, f"s-{number}")
        return begun

    async def lose_all_daemons(self) -> None:
        """End all daemons at once."""
        for node in self.nodes:
            await node.abort()
        self.nodes.clear()

    async def return_all_daemons(self) -> list[Node]:
        """Start as many daemons as before, and wait until they serve."""
        restarted = [await self.add_node(first_start="false") for _ in range(DAEMONS)]
        for node in restarted:
            self.hold_lag(node)
            await self.until(lambda node=node: not node.not_ready())
            await self.until(lambda node=node: self.knows_replicas(node))
            await self.until(lambda node=node: node.origins.recovery.is_over)
        return restarted

    def knows_replicas(self, node: Node) -> bool:
        listed = sum(kind == "servers" for kind, _ in self.store.objects)
        return len(node.directory.of_pool("desk")) == listed

    async def count_resumed(self, node: Node, begun: dict[str, bytes]) -> int:
        """Resume streams at ``node``, and return how many went on, each at its version."""
        count = 0
        for name, data in begun.items():
            answer = await self.resume_stream(node, name, data)
            if answer.status == 200:
                self.assert_one_version(data + answer.body)
                count += 1
        return count

    async def assert_all_refused(self, node: Node, begun: dict[str, bytes], detail: str) -> None:
        """Check that no stream is resumed at ``node``, and that no replica is asked to."""
        before = [len(version.received) for version in self.versions]
        for name, data in begun.items():
            answer = await self.resume_stream(node, name, data)
            self.assertEqual(answer.status, 503)
            self.assertIn(detail, answer.body.decode())
        self.assertEqual([len(version.received) for version in self.versions], before)


class OneVersionTests(LostFleetTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.versions = self.versions[:1]

    async def test_streams_go_on_where_one_version_has_served(self):
        nodes = await self.serve_fleet()
        begun = await self.begin_everywhere(nodes)
        await self.lose_all_daemons()
        restarted = await self.return_all_daemons()
        self.assertEqual(await self.count_resumed(restarted[0], begun), len(begun))

    async def test_nothing_is_written_for_a_stream_of_a_single_version(self):
        nodes = await self.serve_fleet()
        before = len(self.writes())
        await self.begin_everywhere(nodes)
        await self.until(lambda: sum("watch=" in call for call in self.store.calls) > 10)
        self.assertEqual(len(self.writes()), before)

    def writes(self) -> list[str]:
        return [call for call in self.store.calls if not call.startswith("GET")]

    async def test_streams_of_a_version_that_appears_later_do_not_mix_with_earlier_ones(self):
        nodes = await self.serve_fleet()
        begun = await self.begin(nodes[0], STREAMS, "early")
        await self.add_version("v2")
        await self.until_versions_stored({"v1", "v2"})
        await self.until_recorded(len(begun))
        begun |= await self.begin(nodes[1], STREAMS, "late")
        await self.until_recorded(len(begun))
        await self.lose_all_daemons()
        restarted = await self.return_all_daemons()
        self.assertEqual(await self.count_resumed(restarted[0], begun), len(begun))

    async def add_version(self, name: str) -> None:
        """Start replicas of a further version, and wait until all nodes know them."""
        version = StreamingVersion(name, holds=True)
        self.versions.append(version)
        for _ in range(self.replicas_per_version):
            await self.add_replica(version.script, slots=2 * STREAMS, version=name)
        for node in self.nodes:
            await self.until(lambda node=node: self.knows_replicas(node))

    async def test_streams_of_a_version_that_left_before_the_loss_are_refused(self):
        nodes = await self.serve_fleet()
        begun = await self.begin(nodes[0], 1)
        await self.add_version("v2")
        self.store.remove("servers", "i-0")
        self.store.remove("servers", "i-1")
        await self.until_versions_stored({"v1", "v2"})
        await self.until_recorded(len(begun))
        await self.lose_all_daemons()
        restarted = await self.return_all_daemons()
        await self.assert_all_refused(restarted[0], begun, "no replica of version 'v1'")
        await self.assert_all_refused(restarted[0], {"unknown": begun["s-0"]}, UNKNOWN)

    async def test_version_that_nobody_has_seen_is_not_taken_for_the_one_before(self):
        nodes = await self.serve_fleet()
        begun = await self.begin(nodes[0], 1)
        await self.lose_all_daemons()
        self.store.remove("servers", "i-0")
        self.store.remove("servers", "i-1")
        await self.add_version("v2")
        restarted = await self.return_all_daemons()
        await self.assert_all_refused(restarted[0], begun, UNKNOWN)


class TwoVersionsTests(LostFleetTestCase):
    async def test_streams_go_on_at_the_version_that_began_each(self):
        nodes = await self.serve_fleet()
        begun = await self.begin_everywhere(nodes)
        self.assertEqual(len({versions_of(data).pop() for data in begun.values()}), 2)
        await self.until_recorded(len(begun))
        await self.lose_all_daemons()
        restarted = await self.return_all_daemons()
        self.assertEqual(await self.count_resumed(restarted[1], begun), len(begun))

    async def test_streams_go_on_after_a_second_loss(self):
        nodes = await self.serve_fleet()
        begun = await self.begin_everywhere(nodes)
        await self.until_recorded(len(begun))
        await self.lose_all_daemons()
        await self.return_all_daemons()
        await self.lose_all_daemons()
        restarted = await self.return_all_daemons()
        self.assertEqual(await self.count_resumed(restarted[2], begun), len(begun))

    async def test_streams_that_were_not_recorded_are_refused(self):
        self.hold(mock.patch.object(archive, "MIN_WRITE_SECONDS", 3600.0))
        nodes = await self.serve_fleet()
        begun = await self.begin(nodes[0], STREAMS)
        await self.lose_all_daemons()
        restarted = await self.return_all_daemons()
        await self.assert_all_refused(restarted[0], begun, UNKNOWN)


class StoreTests(LostFleetTestCase):
    """The store is away, or was restored from a copy, when the daemons come back."""

    async def lose_after_recording(self) -> dict[str, bytes]:
        nodes = await self.serve_fleet()
        begun = await self.begin_everywhere(nodes)
        await self.until_recorded(len(begun))
        await self.lose_all_daemons()
        return begun

    async def test_streams_go_on_once_the_store_can_be_read(self):
        begun = await self.lose_after_recording()
        self.store.down = True
        restarted = [await self.add_node(first_start="false") for _ in range(DAEMONS)]
        await self.until(
            lambda: any("GET /objects/railsail-streams" in c for c in self.store.calls)
        )
        self.store.down = False
        for node in restarted:
            self.hold_lag(node)
            await self.until(lambda node=node: not node.not_ready())
            await self.until(lambda node=node: self.knows_replicas(node))
        await self.until(lambda: len(restarted[0].origins.recovery) == len(begun))
        self.assertEqual(await self.count_resumed(restarted[0], begun), len(begun))

    async def test_store_that_lost_the_second_version_is_not_trusted(self):
        self.versions = self.versions[:1]
        nodes = await self.serve_fleet()
        copy = self.store.copy()
        self.versions.append(StreamingVersion("v2", holds=True))
        for _ in range(self.replicas_per_version):
            await self.add_replica(self.versions[1].script, slots=2 * STREAMS, version="v2")
        await self.until_versions_stored({"v1", "v2"})
        begun = await self.begin(nodes[0], STREAMS)
        await self.lose_all_daemons()
        self.store.restore(copy)
        restarted = await self.return_all_daemons()
        self.assertEqual(self.stored_versions(), {"v1"})
        await self.assert_all_refused(restarted[0], begun, UNKNOWN)


class CleanedTests(LostFleetTestCase):
    async def test_records_of_processes_that_are_gone_are_deleted(self):
        left = (PLATFORM_KIND, "records-of-a-lost-process-0")
        self.store.put(*left, {"groups": []})
        self.hold(mock.patch.object(part, "CLEAN_SECONDS", 0.2))
        self.hold(mock.patch.object(part.StreamsPart, "_window", lambda self: 0.2))
        await self.serve_fleet()
        await self.until(lambda: left not in self.store.objects)
        self.assertIn((PLATFORM_KIND, PLACES_NAME), self.store.objects)

    async def test_own_records_are_deleted_once_no_caller_can_return(self):
        self.hold(mock.patch.object(part.StreamsPart, "_window", lambda self: 0.5))
        nodes = await self.serve_fleet()
        await self.begin_everywhere(nodes)
        await self.until(lambda: len(self.stored_records()) > 0)
        await self.until_recorded(0)
