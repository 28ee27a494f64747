"""Which cell is asked for a prompt's beginning, as the entries of a fleet compute it."""

import unittest

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.dispatch.cellmap import CellMap
from railsail.scheduling.cells import Cell
from railsail.scheduling.placing import _preferred
from railsail.scheduling.room import ReplicaRoom
from railsail.scheduling.tickets import Ticket
from railsail.store.base import Listing, StoredObject
from railsail.upstreams.directory import UpstreamDirectory

POOL = "model"
PREFIXES = range(1, 200)
LIMIT = 16


def directory(replicas: int, leaving: tuple[str, ...] = ()) -> UpstreamDirectory:
    """Return a directory of so many replicas of one pool."""
    made = UpstreamDirectory(lambda news, source: None, EventLog("n", Clock()))
    list_replicas(made, replicas, leaving)
    return made


def list_replicas(known: UpstreamDirectory, replicas: int, leaving: tuple[str, ...] = ()) -> None:
    objects = []
    for number in range(replicas):
        name = f"r{number:03}"
        state = "leaving" if name in leaving else "live"
        spec = {"pool": POOL, "endpoint": "127.0.0.1:1", "failure_domain": "a", "state": state}
        objects.append(StoredObject("upstream", name, number + 1, spec))
    known.listed(Listing(replicas + 1, tuple(objects)))


def cell_map(node: str, known: UpstreamDirectory) -> CellMap:
    return CellMap(node, known, lambda: [node], LIMIT, local=False)


class HomeTests(unittest.TestCase):
    def test_all_entries_ask_the_same_cell_for_a_beginning(self):
        known = directory(78)
        maps = [cell_map(f"node {number}", known) for number in range(20)]
        for prefix in PREFIXES:
            self.assertEqual(len({cells.home(POOL, prefix) for cells in maps}), 1)

    def test_its_dispatcher_prefers_the_same_replica_however_the_pool_is_cut(self):
        known = directory(78)
        small = CellMap("n", known, lambda: ["n"], 8, local=False)
        for prefix in PREFIXES:
            preferred = {_preferred_in(cells, prefix) for cells in (cell_map("n", known), small)}
            self.assertEqual(len(preferred), 1)

    def test_one_more_replica_moves_few_beginnings(self):
        # 33 replicas make a third cell, which used to move most beginnings to another replica.
        known = directory(32)
        cells = cell_map("n", known)
        before = {prefix: _preferred_in(cells, prefix) for prefix in PREFIXES}
        list_replicas(known, 33)
        moved = [p for p in PREFIXES if _preferred_in(cells, p) != before[p]]
        self.assertTrue(moved)
        self.assertLess(len(moved), len(PREFIXES) / 10)

    def test_beginnings_of_a_leaving_replica_go_to_others(self):
        known = directory(32, leaving=("r003",))
        cells = cell_map("n", known)
        self.assertNotIn("r003", {_preferred_in(cells, prefix, "r003") for prefix in PREFIXES})

    def test_pool_without_replicas_has_a_home_all_the_same(self):
        self.assertEqual(cell_map("n", directory(0)).home(POOL, 7), Cell(POOL, 0, 1))


def _preferred_in(cells: CellMap, prefix: int, without: str = "") -> str:
    """Return the replica that the dispatcher of the home of ``prefix`` prefers."""
    names = cells.cells(POOL)[cells.home(POOL, prefix)]
    rooms = [ReplicaRoom(name, 1) for name in names if name != without]
    return _preferred(Ticket("n", 1, 1, "w", 0.0, 1.0, 0.0, prefix=prefix), rooms).name


if __name__ == "__main__":
    unittest.main()
