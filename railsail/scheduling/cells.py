"""How a pool is cut into cells, each with one dispatcher.

While a pool is small it is one cell, and fairness and use of its replicas are exact there. A larger
pool is cut into the fewest cells that keep each within the limit, so that the work of a dispatcher
does not grow with the pool. Where the fleet has several regions, each region's replicas are cells
of their own, so that a request is dispatched without a way to another region and back.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, order=True)
class Cell:
    """A part of a pool, named by its number among ``count`` cells.

    Its replicas are in ``region``; the name is empty where the fleet has one region only.
    """

    pool: str
    number: int
    count: int
    region: str = field(default="", compare=False)

    def __str__(self) -> str:
        return f"{self.pool}/{self.number}"


def cut(pool: str, replicas: Sequence[str], limit: int) -> dict[Cell, list[str]]:
    """Return the replicas of each cell of ``pool``, at most ``limit`` in each.

    Every daemon that knows the same replicas computes the same cells.
    """
    parts = _parts(replicas, limit)
    return {Cell(pool, number, len(parts)): part for number, part in enumerate(parts)}


def cut_by_region(
    pool: str, regions: Mapping[str, str], limit: int, named: Collection[str]
) -> dict[Cell, list[str]]:
    """Return the same, with the replicas of each region in cells of their own.

    ``regions`` gives the region of each replica, ``named`` are the regions of the fleet. A region
    without replicas has no cell, and the cells of the others keep their numbers.
    """
    if len(set(named)) <= 1 or not regions:
        return cut(pool, list(regions), limit)
    names = sorted({*named, *regions.values()})
    inside: dict[str, list[str]] = defaultdict(list)
    for replica, region in regions.items():
        inside[region].append(replica)
    parts = {region: _parts(inside[region], limit) for region in names if region in inside}
    count = len(names) * max(len(of_region) for of_region in parts.values())
    cells = {}
    for region, of_region in parts.items():
        first = names.index(region)
        for index, part in enumerate(of_region):
            cells[Cell(pool, index * len(names) + first, count, region)] = part
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
    """Return ``cells`` with those replicas that are in none of them, evenly and by name.

    ``regions`` gives the region of each replica; one goes to a cell of its region, where there is
    any. What the cells hold stays where it is. They may hold more then than their limit.
    """
    held = {name for names in cells.values() for name in names}
    if len(held) == len(regions):
        return cells
    added: dict[str, list[str]] = defaultdict(list)
    for name in sorted(regions.keys() - held):
        added[regions[name]].append(name)
    spread_out = {cell: list(names) for cell, names in cells.items()}
    for region, names in added.items():
        near = [cell for cell in cells if cell.region == region] or list(cells)
        for index, name in enumerate(names):
            spread_out[near[index * len(near) // len(names)]].append(name)
    return spread_out
