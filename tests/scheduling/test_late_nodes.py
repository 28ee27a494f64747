"""A workspace whose nodes are late with their messages is served its share of idle replicas.

Guards against a cell that grants too little: a workspace asked for 1.3 million tokens a second in
six seconds, and 0.07 million were started, while the replicas were able to read over 2.5 million.
"""

import functools
import unittest
from collections.abc import Callable

from tests.scheduling.simulated_cell import SimulatedCell

WORKSPACES = 30
SECONDS = 20
MEASURED = range(6, SECONDS)
SEEDS = (1, 2, 3)
# Mean delays of the messages of late nodes, in seconds.
DELAYS = (0.15, 0.3, 0.6)
# Requests a second of all workspaces. The largest one sends four times its usual number from the
# fourth second on, more than the replicas can read.
RATE = 100.0
SKEW = 1.8
FLOOD_FACTOR = 4.0
FLOOD_AT = 4.0
FLOODING = "w0"


def rates(now: float) -> dict[str, float]:
    weights = [1 / (number + 1) ** SKEW for number in range(WORKSPACES)]
    usual = {f"w{n}": RATE * weight / sum(weights) for n, weight in enumerate(weights)}
    if now >= FLOOD_AT:
        usual[FLOODING] *= FLOOD_FACTOR
    return usual


@functools.cache
def started(seed: int, delay: float) -> dict[str, int]:
    """Return the tokens started by workspace if the nodes of one are late by ``delay`` seconds."""
    cell = SimulatedCell(seed, delays={FLOODING: delay})
    cell.run(SECONDS, rates)
    return {name: tally.total_started(MEASURED) for name, tally in cell.tallies.items()}


class LateNodesTests(unittest.TestCase):
    def check_half(self, measure: Callable[[dict[str, int]], int]) -> None:
        """Check that late nodes take away no more than half of what ``measure`` returns."""
        too_low = [
            (seed, delay, measure(started(seed, delay)), measure(started(seed, 0.0)))
            for seed in SEEDS
            for delay in DELAYS
            if measure(started(seed, delay)) < measure(started(seed, 0.0)) / 2
        ]
        self.assertEqual(too_low, [])

    def test_workspace_with_late_nodes_gets_half_of_what_it_would_get(self):
        self.check_half(lambda tokens: tokens[FLOODING])

    def test_replicas_stay_busy_beside_late_nodes(self):
        self.check_half(lambda tokens: sum(tokens.values()))

    def test_other_workspaces_are_served_beside_late_nodes(self):
        for other in ("w1", "w2", "w3"):
            self.check_half(lambda tokens, name=other: tokens[name])


if __name__ == "__main__":
    unittest.main()
