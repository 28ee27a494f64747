"""The dispatcher learns from the answers that the replicas of a pool differ in speed."""

import random
import unittest
from collections import Counter

from railsail.scheduling.decisions import Decision, Grant
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.room import ReplicaState
from railsail.scheduling.tickets import Ticket, TicketKey

SPEEDS = {"usual": 1.0, "fast": 1.3}
PREFILL_RATE = 60_000.0
# The prompts have these three lengths in turn.
LENGTHS = (800, 2400, 5800)
TOKENS = sum(LENGTHS) / len(LENGTHS)
# An answer starts this many seconds after its prefill, and is complete at the same time.
BASE_SECONDS = 0.03
# Length of a step of the simulation.
STEP_SECONDS = 0.005


class Pool:
    """Two engines that prefill one prompt after the other, and their dispatcher."""

    def __init__(self) -> None:
        self.cell = CellDispatcher(lambda workspace: 1.0, random.Random(5))
        self.cell.set_replicas(dict.fromkeys(SPEEDS, 12))
        self.granted: Counter[str] = Counter()
        self._free_at = dict.fromkeys(SPEEDS, 0.0)
        self._answers: list[tuple[float, TicketKey]] = []

    def run(self, seconds: float, interval: float) -> None:
        """Offer a ticket every ``interval`` seconds."""
        steps = round(seconds / STEP_SECONDS)
        number, due = 0, 0.0
        for step in range(steps):
            now = step * STEP_SECONDS
            self._answer(now)
            while due <= now:
                number += 1
                due += interval
                self._grant(self.cell.offer(_ticket(number, now), now), now)
            self._grant(self.cell.pump(now), now)

    def _grant(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, Grant):
                name = decision.replica
                self.granted[name] += 1
                seconds = decision.ticket.prompt_tokens / (PREFILL_RATE * SPEEDS[name])
                self._free_at[name] = max(self._free_at[name], now) + seconds
                answer_at = self._free_at[name] + BASE_SECONDS
                self._answers.append((answer_at, decision.ticket.key))

    def _answer(self, now: float) -> None:
        for answer_at, key in sorted(self._answers):
            if answer_at > now:
                return
            self._answers.remove((answer_at, key))
            self.cell.answered(key, answer_at)
            self.cell.release(key, 1.0, answer_at, CallResult.GOOD)


def _ticket(number: int, now: float) -> Ticket:
    return Ticket(
        "entry",
        number,
        1,
        "one",
        0.0,
        1.0,
        now,
        prompt_tokens=LENGTHS[number % len(LENGTHS)],
        objective=0.6,
        patience=0.12,
    )


class SpeedTests(unittest.TestCase):
    def setUp(self):
        self.pool = Pool()
        # Nine tenths of what both can prefill.
        self.pool.run(40.0, TOKENS / (0.9 * PREFILL_RATE * sum(SPEEDS.values())))
        self.states = self.pool.cell.replicas

    def test_prefill_rate_of_each_replica_is_learnt(self):
        usual, fast = (self.states[name].prefill_rate for name in ("usual", "fast"))
        self.assertAlmostEqual(fast / usual, 1.3, delta=0.2)

    def test_faster_replica_is_given_more_calls(self):
        granted = self.pool.granted
        self.assertGreater(granted["fast"], 1.15 * granted["usual"])

    def test_faster_replica_accepts_more_pending_prefill(self):
        accepted = {name: self.accepted(state) for name, state in self.states.items()}
        self.assertGreater(accepted["fast"], 1.15 * accepted["usual"])

    def accepted(self, state: ReplicaState) -> int:
        """Return how many tokens ``state`` accepts before another prompt would be late there."""
        now, number = 1000.0, 0
        tokens = LENGTHS[0]
        while state.can_answer_in_time(_ticket(0, now), now):
            number += 1
            state.record_pending(("next", number), tokens, now)
        return number * tokens


if __name__ == "__main__":
    unittest.main()
