"""The rollouts that a node knows: how records merge, and which versions receive calls."""

import itertools
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from railsail.core.clock import ManualClock
from railsail.peers.codec import decode_frame, encode_message, join_frame
from railsail.rollouts.book import REPLACEMENT_SECONDS
from railsail.rollouts.merging import merge
from railsail.rollouts.orders import Order, Rollout, State
from railsail.store.base import Listing, StoredObject, WatchEvent
from railsail.store.versions import to_version
from tests.anyjson import values
from tests.rollouts.base import SERVICE, START, FakeStore, event, new_book


def status(state: str, target: object = "v2") -> dict:
    return {"status": {"state": state, "target_version": target}}


fields = {
    "target_version": st.one_of(st.just("v2"), values),
    "duration": st.one_of(st.just(20.0), values),
    "status": st.one_of(
        values,
        st.fixed_dictionaries(
            {},
            optional={
                "state": st.sampled_from(["running", "rolled_back"]) | values,
                "target_version": st.just("v2") | values,
            },
        ),
    ),
}


class OddOrderTests(unittest.TestCase):
    """Programs other than railsail may write orders, and anything may be in them."""

    @settings(max_examples=300)
    @given(st.fixed_dictionaries({}, optional=fields), st.sampled_from(["odd", "o" * 257]))
    def test_order_hides_no_other_order_here_or_at_peers(self, value, name):
        flooded: list = []
        book = new_book(ManualClock(START), flooded)
        objects = (
            StoredObject("rollout", name, 1, {"service": name} | value),
            StoredObject(
                "rollout", SERVICE, 2, {"service": SERVICE, "target_version": "v2", "duration": 20}
            ),
        )
        book.listed(Listing(3, objects))
        self.assertEqual(book.running(SERVICE), Order(SERVICE, 2, "v2", 20.0))
        for update in (*(update for update, _ in flooded), book.full_update()):
            _, (received,) = decode_frame(join_frame(1, [encode_message(update)]))
            self.assertEqual(received, update)


class BookTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(START)
        self.flooded: list = []
        self.book = new_book(self.clock, self.flooded)
        self.store = FakeStore()

    def change(self, *changes: dict) -> None:
        """Write the operator's object with ``changes``, and pass its watch event to the book."""
        current = self.store.objects[("rollout", SERVICE)].value
        for change in changes:
            current = current | change
        self.store.set("rollout", SERVICE, current)
        self.book.seen(event(self.store))

    def order(self, target: object = "v2", seconds: float = 20.0) -> None:
        self.store.order(target, seconds)
        self.book.seen(event(self.store))

    def accepted_versions(self) -> set[str]:
        return {v for v in ("v1", "v2", "v3") if self.book.takes_work(SERVICE, v)}

    def test_unknown_service_has_no_order_and_takes_any_version(self):
        self.assertIsNone(self.book.running("other"))
        self.assertTrue(self.book.takes_work("other", "v9"))

    def test_order_runs_and_is_forwarded(self):
        self.order()
        order = self.book.running(SERVICE)
        self.assertEqual(order, Order(SERVICE, 1, "v2", 20.0))
        other = new_book(self.clock)
        for update, _ in self.flooded:
            other.received("n", update)
        self.assertEqual(other.all(), self.book.all())

    def test_repeated_record_is_not_forwarded(self):
        self.order()
        count = len(self.flooded)
        self.book.seen(event(self.store))
        self.book.listed(self.store.listing())
        self.assertEqual(len(self.flooded), count)

    def test_status_change_is_no_new_order(self):
        self.order()
        self.change(status("running"))
        self.assertEqual(self.book.running(SERVICE).version, 1)

    def test_nodes_agree_on_the_lowest_version(self):
        self.order()
        late = new_book(self.clock)
        self.change(status("running"))
        late.seen(event(self.store))
        self.assertEqual(late.running(SERVICE).version, 2)
        late.received("n", self.book.full_update())
        self.book.received("n", late.full_update())
        self.assertEqual(late.all(), self.book.all())
        self.assertEqual(late.running(SERVICE).version, 1)

    def test_ended_order_no_longer_runs(self):
        for state, expected in (("succeeded", {"v2"}), ("rolled_back", {"v1", "v3"})):
            with self.subTest(state):
                self.setUp()
                self.order()
                self.change(status("running"))
                self.change(status(state))
                self.assertIsNone(self.book.running(SERVICE))
                self.assertEqual(self.accepted_versions(), expected)

    def test_other_versions_receive_calls_again_after_the_old_replicas_have_stopped(self):
        self.order()
        self.change(status("running"))
        self.change(status("succeeded"))
        notifications: list[bool] = []
        self.book.on_change(lambda: notifications.append(True))
        self.book.tick()
        self.assertEqual(notifications, [])
        self.clock.advance(REPLACEMENT_SECONDS)
        self.assertIn("v3", self.accepted_versions())
        self.book.tick()
        self.assertEqual(notifications, [True])

    def test_decision_takes_effect_before_the_status_is_written(self):
        self.order()
        self.change(status("running"))
        self.book.record_decision(self.book.running(SERVICE), State.ROLLED_BACK)
        self.assertEqual(self.accepted_versions(), {"v1", "v3"})
        self.assertEqual(len(self.book.ended_without_status()), 1)
        self.change(status("rolled_back"))
        self.assertEqual(self.book.ended_without_status(), [])

    def test_end_is_not_reverted_by_an_earlier_status(self):
        self.order()
        self.change(status("running"))
        self.book.record_decision(self.book.running(SERVICE), State.ROLLED_BACK)
        self.change(status("running"))
        self.change({"status": {}})
        self.assertIs(self.book.get(SERVICE).order_state, State.ROLLED_BACK)
        self.assertEqual(len(self.book.ended_without_status()), 1)

    def test_end_is_not_reverted_by_a_restored_store(self):
        self.order()
        self.change(status("running"))
        self.change(status("succeeded"))
        current = self.store.objects[("rollout", SERVICE)].value | {"status": {}}
        self.book.seen(WatchEvent("rollout", SERVICE, to_version(1, 1), current))
        self.assertIs(self.book.get(SERVICE).order_state, State.SUCCEEDED)
        self.assertEqual(len(self.book.ended_without_status()), 1)

    def test_order_of_another_version_is_new_and_drops_the_previous_target(self):
        self.order()
        self.change(status("running"))
        self.order("v3")
        self.assertEqual(self.book.running(SERVICE).target_version, "v3")
        self.assertEqual(self.accepted_versions(), {"v1", "v3"})
        self.change(status("running", "v3"))
        self.assertEqual(self.accepted_versions(), {"v1", "v3"})

    def test_rolled_back_version_receives_no_calls_during_the_next_order(self):
        self.order()
        self.change(status("running"))
        self.change(status("rolled_back"))
        self.order("v3")
        self.change(status("running", "v3"))
        self.assertEqual(self.accepted_versions(), {"v1", "v3"})

    def test_rolled_back_version_can_be_ordered_again(self):
        self.order()
        self.change(status("running"))
        self.change(status("rolled_back"))
        self.order("v2", 30.0)
        self.assertEqual(self.book.running(SERVICE).duration, 30.0)
        # The object still has the status of the previous order, whichever node reads or sends it.
        self.book.listed(self.store.listing())
        fresh = new_book(self.clock)
        fresh.listed(self.store.listing())
        self.book.received("n", fresh.full_update())
        self.assertIsNotNone(self.book.running(SERVICE))
        self.assertIn("v2", self.accepted_versions())
        self.change(status("running"))
        fresh.received("n", self.book.full_update())
        self.assertEqual(fresh.running(SERVICE), self.book.running(SERVICE))

    def test_target_of_a_withdrawn_order_receives_no_calls(self):
        self.order()
        self.change(status("running"))
        self.book.listed(Listing(9, ()))
        self.assertIsNone(self.book.running(SERVICE))
        self.assertEqual(self.accepted_versions(), {"v1", "v3"})

    def test_all_versions_receive_calls_after_a_succeeded_order_was_withdrawn(self):
        self.order()
        self.change(status("running"))
        self.change(status("succeeded"))
        self.book.seen(WatchEvent("rollout", SERVICE, 9, None))
        self.assertEqual(self.accepted_versions(), {"v1", "v2", "v3"})

    def test_listing_that_is_not_settled_withdraws_no_order(self):
        self.order()
        self.book.listed(Listing(9, (), settled=False))
        self.assertIsNotNone(self.book.running(SERVICE))

    def test_order_given_again_after_its_withdrawal_is_new(self):
        self.order()
        self.change(status("running"))
        self.book.seen(WatchEvent("rollout", SERVICE, 9, None))
        self.store.version = 9
        self.change({"status": {}})
        self.assertEqual(self.book.running(SERVICE).version, 10)
        self.assertEqual(self.book.get(SERVICE).order_state, State.NONE)

    def test_invalid_values_are_refused_and_the_last_valid_order_stays(self):
        self.order()
        bad = (
            {"duration": 0},
            {"duration": -1.0},
            {"duration": float("inf")},
            {"duration": True},
            {"duration": "20"},
            {"target_version": ""},
            {"target_version": None},
            {"target_version": "v" * 300},
            {"target_version": ["v3"]},
            {"service": "other"},
            {"service": 7},
        )
        for change in bad:
            with self.subTest(change):
                current = self.store.objects[("rollout", SERVICE)].value | change
                self.book.seen(WatchEvent("rollout", SERVICE, 50, current))
                self.assertEqual(self.book.running(SERVICE), Order(SERVICE, 1, "v2", 20.0))
        self.book.seen(WatchEvent("rollout", SERVICE, 50, {}))
        counted = self.book._kernel.metrics.rollouts_refused.get({"service": SERVICE})
        self.assertEqual(counted, len(bad) + 1)

    def test_target_version_may_be_a_number(self):
        self.order(7)
        self.assertEqual(self.book.running(SERVICE).target_version, "7")
        self.change(status("rolled_back", 7))
        self.assertFalse(self.book.takes_work(SERVICE, "7"))


class MergeTests(unittest.TestCase):
    def test_result_is_the_same_in_any_order_of_arrival(self):
        first = Order(SERVICE, 10, "v2", 20.0)
        records = [
            Rollout(first, object_version=10),
            Rollout(replace(first, version=12), False, State.RUNNING, "v2", 12, State.RUNNING),
            Rollout(first, False, State.ROLLED_BACK, "v2", 12, State.RUNNING),
            Rollout(first, False, State.ROLLED_BACK, "v2", 13, State.ROLLED_BACK),
        ]
        for arrived in itertools.permutations(records):
            known = None
            for record in arrived:
                known = merge(known, record)
            self.assertEqual(known, records[-1], arrived)


if __name__ == "__main__":
    unittest.main()
