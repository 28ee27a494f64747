"""How a pool is cut into cells, each with one dispatcher.

While a pool is small it is one cell, and fairness and use of its replicas are exact there. A larger
pool is cut into the fewest cells that keep each within the limit, so that the work of a dispatcher
does not grow with the pool.
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Cell:
    """A part of a pool, named by its number among ``count`` cells."""

    pool: str
    number: int
    count: int

    def __str__(self) -> str:
        return f"{self.pool}/{self.number}"


def cut(pool: str, replicas: Sequence[str], limit: int) -> dict[Cell, list[str]]:
    """Return the replicas of each cell of ``pool``, at most ``limit`` in each.

    Every daemon that knows the same replicas computes the same cells.
    """
    ordered = sorted(replicas)
    count = max(1, -(-len(ordered) // limit))
    cells: dict[Cell, list[str]] = {Cell(pool, number, count): [] for number in range(count)}
    for index, replica in enumerate(ordered):
        cells[Cell(pool, index * count // len(ordered), count)].append(replica)
    return cells


def spread(cells: dict[Cell, list[str]], replicas: Sequence[str]) -> dict[Cell, list[str]]:
    """Return ``cells`` with those of ``replicas`` that are in none of them, evenly and by name.

    What the cells hold stays where it is. They may hold more then than their limit.
    """
    held = {name for names in cells.values() for name in names}
    added = sorted(name for name in replicas if name not in held)
    numbered = list(cells)
    spread_out = {cell: list(names) for cell, names in cells.items()}
    for index, name in enumerate(added):
        spread_out[numbered[index * len(numbered) // len(added)]].append(name)
    return spread_out
