"""How a pool is divided into cells, each with one dispatcher.

A small pool is one cell, in which fairness and the use of replicas are exact. A larger pool is
divided into as few cells as the limit on their size allows, so that the work of a dispatcher does
not grow with the pool. If the fleet has several regions, the replicas of each region form cells of
their own, so that dispatching a request takes no round trip to another region.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, order=True)
class Cell:
    """A part of a pool, identified by its ``number``, which is less than ``count``.

    ``region`` is the region of its replicas; it is empty if the fleet has only one region. If there
    are several, some numbers have no cell.
    """

    pool: str
    number: int
    count: int
    region: str = field(default="", compare=False)

    def __str__(self) -> str:
        return f"{self.pool}/{self.number}"


def split_pool(pool: str, replicas: Sequence[str], limit: int) -> dict[Cell, list[str]]:
    """Return the replicas of each cell of ``pool``, at most ``limit`` in each.

    The result depends on the arguments only, so that all daemons that know the same replicas
    compute the same cells.
    """
    parts = _parts(replicas, limit)
    return {Cell(pool, number, len(parts)): part for number, part in enumerate(parts)}


def cut_by_region(
    pool: str, regions: Mapping[str, str], limit: int, fleet_regions: Collection[str]
) -> dict[Cell, list[str]]:
    """Return the replicas of each cell, where all replicas of a cell are in one region.

    ``regions`` maps each replica to its region; ``fleet_regions`` are all regions of the fleet. A
    region without replicas has no cell, and the cells of the other regions keep their numbers.
    """
    if len(set(fleet_regions)) <= 1 or not regions:
        return split_pool(pool, list(regions), limit)
    names = sorted({*fleet_regions, *regions.values()})
    in_region: dict[str, list[str]] = defaultdict(list)
    for replica, region in regions.items():
        in_region[region].append(replica)
    parts = {region: _parts(in_region[region], limit) for region in names if region in in_region}
    count = len(names) * max(len(region_parts) for region_parts in parts.values())
    cells = {}
    for region, region_parts in parts.items():
        offset = names.index(region)
        for index, part in enumerate(region_parts):
            cells[Cell(pool, index * len(names) + offset, count, region)] = part
    return dict(sorted(cells.items()))


def _parts(replicas: Sequence[str], limit: int) -> list[list[str]]:
    """Return ``replicas`` in the fewest parts with at most ``limit`` in each; at least one part."""
    ordered = sorted(replicas)
    count = max(1, -(-len(ordered) // limit))
    parts: list[list[str]] = [[] for _ in range(count)]
    for index, replica in enumerate(ordered):
        parts[index * count // len(ordered)].append(replica)
    return parts


def spread(cells: dict[Cell, list[str]], regions: Mapping[str, str]) -> dict[Cell, list[str]]:
    """Return ``cells`` with the replicas of ``regions`` that are in no cell added evenly, by name.

    ``regions`` maps each replica to its region. A replica is added to a cell of its region if there
    is one. Replicas that are in a cell stay there. A cell may exceed its limit afterwards.
    """
    assigned = {name for names in cells.values() for name in names}
    if len(assigned) == len(regions):
        return cells
    added: dict[str, list[str]] = defaultdict(list)
    for name in sorted(regions.keys() - assigned):
        added[regions[name]].append(name)
    extended = {cell: list(names) for cell, names in cells.items()}
    for region, names in added.items():
        candidates = [cell for cell in cells if cell.region == region] or list(cells)
        for index, name in enumerate(names):
            extended[candidates[index * len(candidates) // len(names)]].append(name)
    return extended
