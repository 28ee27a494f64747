"""Nodes that read the store at different times agree once they have exchanged their records."""

import random
import unittest
from dataclasses import replace

from railsail.rollouts.merging import merge
from railsail.rollouts.orders import Order, Rollout, State
from tests.rollouts.base import SERVICE

NODES = 4
STEPS = 30
RUNS = 1500
# Rounds in which each node sends its record to each other node. Updates that still cause changes
# after this many rounds would circulate forever.
MAX_ROUNDS = 20


class World:
    """An operator's object and each node's record of it; a seed determines what happens."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.version = 0
        self.stored: Rollout | None = None
        self.nodes: list[Rollout | None] = [None] * NODES

    def step(self) -> None:
        actions = (self._order, self._withdraw, self._decide, self._write, self._restart)
        weights = (3, 1, 2, 2, 1)
        self.rng.choices((*actions, self._read, self._send_one), (*weights, 6, 6))[0]()

    def _node(self) -> int:
        return self.rng.randrange(NODES)

    def _store(self, rollout: Rollout) -> None:
        self.version += 1
        order = replace(rollout.order, version=self.version)
        read = replace(rollout, order=order, object_version=self.version)
        self.stored = replace(read, written_state=read.order_state)

    def _order(self) -> None:
        target, duration = self.rng.choice(("v2", "v3")), self.rng.choice((20.0, 30.0))
        before = self.stored or Rollout(Order(SERVICE, 0, "", 0.0))
        if (before.order.target_version, before.order.duration) != (target, duration):
            self._store(replace(before, order=Order(SERVICE, 0, target, duration)))

    def _withdraw(self) -> None:
        self.version += 1
        self.stored = None

    def _decide(self) -> None:
        node = self._node()
        known = self.nodes[node]
        if known is not None and known.order_state is State.RUNNING:
            state = self.rng.choice((State.SUCCEEDED, State.ROLLED_BACK))
            self.nodes[node] = merge(known, replace(known, state=state))

    def _write(self) -> None:
        known = self.nodes[self._node()]
        if (
            known is None
            or self.stored is None
            or known.withdrawn
            or not _same_terms(known, self.stored)
        ):
            return
        state = max(known.order_state, State.RUNNING)
        target = known.order.target_version
        if (self.stored.state, self.stored.decided_version) != (state, target):
            self._store(replace(self.stored, state=state, decided_version=target))

    def _restart(self) -> None:
        self.nodes[self._node()] = None

    def _read(self) -> None:
        node = self._node()
        known = self.nodes[node]
        if self.stored is not None:
            self.nodes[node] = merge(known, self.stored)
        elif known is not None and not known.withdrawn:
            self.nodes[node] = merge(
                known, replace(known, withdrawn=True, object_version=self.version)
            )

    def _send_one(self) -> None:
        sender, receiver = self.rng.sample(range(NODES), 2)
        self.send(sender, receiver)

    def send(self, sender: int, receiver: int) -> bool:
        """Send the record of ``sender`` to ``receiver``; return True if that changed its record."""
        sent, known = self.nodes[sender], self.nodes[receiver]
        if sent is None or sender == receiver:
            return False
        self.nodes[receiver] = merge(known, sent)
        return self.nodes[receiver] != known

    def send_all(self) -> bool:
        """Send all records to all nodes; return True if any record changed."""
        pairs = [(a, b) for a in range(NODES) for b in range(NODES)]
        changed = [self.send(sender, receiver) for sender, receiver in pairs]
        return any(changed)


def _same_terms(left: Rollout, right: Rollout) -> bool:
    mine, other = left.order, right.order
    return (mine.target_version, mine.duration) == (other.target_version, other.duration)


class ConvergenceTests(unittest.TestCase):
    def test_all_nodes_agree_and_updates_end(self):
        for seed in range(RUNS):
            world = World(seed)
            for _ in range(STEPS):
                world.step()
            rounds = 0
            while world.send_all():
                rounds += 1
                self.assertLess(rounds, MAX_ROUNDS, seed)
            self.assertEqual(len(set(world.nodes)), 1, seed)


if __name__ == "__main__":
    unittest.main()
