"""Objects that another program wrote do not hide the others from the client of the store."""

import asyncio
import json
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import example, given, settings
from hypothesis import strategies as st

from railsail.conf.values import parse_endpoint
from railsail.core.exceptions import StoreUnavailable
from railsail.core.logs import configure_logs
from railsail.core.metrics import Metrics
from railsail.store.http import HttpStore
from railsail.store.unreadable import UnreadableValue
from railsail.upstreams.invalidrecords import InvalidRecords
from railsail.upstreams.records import digest_of, parse_record
from tests.anyjson import near, values

SOUND = {"pool": "lm", "endpoint": "10.0.0.1:80"}
DEEP = '{"a":[' * 1_000 + "]}" * 1_000


class OddObjectTests(unittest.TestCase):
    def setUp(self):
        configure_logs("critical", "test")

    def call(self, method: str, body: str):
        """Return what the client makes of the answer ``body``."""

        async def run():
            store = HttpStore([parse_endpoint("127.0.0.1:1")], Metrics(), random.Random(1))
            answer = SimpleNamespace(code=200, body=body.encode("utf-8", "surrogatepass"))
            with mock.patch.object(store, "_call", mock.AsyncMock(return_value=answer)):
                if method == "list":
                    return await store.list("upstream")
                return await store.watch(("upstream",), 0, 1.0)

        return asyncio.run(run())

    def assert_sound_is_found(self, odd: str) -> None:
        items = [
            f'{{"kind":"upstream","name":"odd","version":1,"value":{odd}}}',
            f'{{"kind":"upstream","name":"sound","version":2,"value":{json.dumps(SOUND)}}}',
        ]
        for method, field in (("list", "objects"), ("watch", "events")):
            result = self.call(method, f'{{"version":9,"{field}":[{",".join(items)}]}}')
            found, sound = result.objects if method == "list" else result.events
            self.assertEqual((sound.name, sound.value), ("sound", SOUND))
            if found.value is not None:
                self.assertIsInstance(found.value, dict)
                parsed = parse_record(found, InvalidRecords())
                if parsed is not None:
                    digest_of(parsed)

    @settings(max_examples=200, deadline=None)
    @given(near(SOUND))
    @example({"pool": "\ud800", "endpoint": "10.0.0.1:80"})
    def test_value_of_any_form_hides_no_other_object(self, value):
        self.assert_sound_is_found(json.dumps(value))

    def test_value_that_is_nested_deeply_hides_no_other_object(self):
        for odd in (DEEP, f'{{"odd":{DEEP}}}', '"text"', "[]", '{"pool":"\\ud800"}'):
            with self.subTest(odd=odd[:20]):
                self.assert_sound_is_found(odd)

    def test_replica_with_an_odd_field_that_says_nothing_is_read(self):
        for odd in ("9" * 400, "NaN", DEEP):
            with self.subTest(odd=odd[:20]):
                value = f'{{"odd":{odd},' + json.dumps(SOUND).removeprefix("{")
                body = f'{{"kind":"upstream","name":"n","version":1,"value":{value}}}'
                (found,) = self.call("list", f'{{"version":9,"objects":[{body}]}}').objects
                self.assertIsNotNone(parse_record(found, InvalidRecords()))

    def test_value_that_is_no_object_has_no_fields(self):
        body = '{"version":9,"objects":[{"kind":"k","name":"n","version":1,"value":7}]}'
        self.assertIsInstance(self.call("list", body).objects[0].value, UnreadableValue)

    @settings(max_examples=200, deadline=None)
    @given(
        near({"version": 1, "events": [{"kind": "k", "name": "n", "version": 1, "value": {}}]})
        | st.dictionaries(st.sampled_from(["version", "objects", "events"]), values)
    )
    def test_answer_of_any_form_is_read_or_refused_by_one_error(self, value):
        for method in ("list", "watch"):
            try:
                self.call(method, json.dumps(value))
            except StoreUnavailable:
                continue


if __name__ == "__main__":
    unittest.main()
