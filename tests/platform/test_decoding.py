"""Whatever bytes are in the store, decoding them ends with a value or with one kind of error."""

import asyncio
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from railsail.core.exceptions import StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.peers.codec import decode_frame, encode_message, join_frame
from railsail.peers.levels import NEWEST
from railsail.peers.messages import UpstreamNews
from railsail.platform import store
from railsail.platform.specs import Changes, ListPage, Server
from railsail.store import decoding
from railsail.store.base import WatchEvent
from railsail.store.decoding import (
    MAX_DEPTH,
    UndecodableObject,
    decode,
    decode_plain,
    without_deep_containers,
)
from railsail.store.unreadable import UnreadableObjects
from railsail.upstreams.invalidrecords import InvalidRecords
from railsail.upstreams.records import parse_record, to_record

MANY = settings(max_examples=200)

leaves = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=1 << 62),
    st.floats(),
    st.text(max_size=300),
)
values = st.recursive(
    leaves,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=10,
)
fields = st.sampled_from(["service", "addr", "zone", "slots", "state", "born", "version", "odd"])
specs = st.dictionaries(fields, values, max_size=8)
depths = st.sampled_from([0, 1, MAX_DEPTH, 900, 1_000, 2_000, 20_000])


def nested(depth: int, inner: bytes = b"1") -> bytes:
    return b'{"a":[' * (depth // 2) + inner + b"]}" * (depth // 2)


class DecodingTests(unittest.TestCase):
    @MANY
    @given(values, depths)
    def test_only_deep_containers_are_left_out(self, value, depth):
        text = json.dumps(value).encode()
        data = b'{"before":%s,"deep":%s,"after":%s}' % (text, nested(depth), text)
        kept = json.loads(without_deep_containers(data))
        self.assertEqual(json.dumps(kept["before"]), json.dumps(value))
        self.assertEqual(json.dumps(kept["after"]), json.dumps(value))

    @MANY
    @given(st.binary(max_size=200), depths)
    def test_bytes_end_with_a_value_or_one_kind_of_error(self, data, depth):
        for each in (data, nested(depth, data), data + nested(depth)):
            for decoder in (
                decode_plain,
                lambda d: decode(d, Server),
                lambda d: decode(d, ListPage),
            ):
                try:
                    decoder(each)
                except UndecodableObject:
                    continue

    def test_string_that_is_not_closed_extends_to_the_end(self):
        # Otherwise it is searched again from each of its quotation marks, for minutes in all.
        for data in (b'{"a":"' + b"[" * 2 * MAX_DEPTH, b'{"a":"' + b'\\"[' * 2 * MAX_DEPTH):
            with self.subTest(data=data[:20]):
                self.assertEqual(without_deep_containers(data), data)
                self.assertLessEqual(len(decoding._TOKEN.findall(data)), 3)

    def test_plain_data_is_bounded_in_depth(self):
        for depth, is_read in ((MAX_DEPTH - 2, True), (MAX_DEPTH + 2, False), (2_000, False)):
            with self.subTest(depth=depth):
                try:
                    decode_plain(nested(depth))
                except UndecodableObject:
                    self.assertFalse(is_read)
                else:
                    self.assertTrue(is_read)

    @MANY
    @given(specs, depths, st.sampled_from(sorted(store._KINDS)))
    def test_objects_of_each_kind_are_read_or_refused(self, spec, depth, kind):
        text = json.dumps(spec).encode()
        metadata = b'{"name":"x","revision":1}'
        item = b'{"metadata":%s,"spec":%s,"odd":%s}' % (metadata, text, nested(depth))
        try:
            decoded = store._decode_one(_Answer(item), lambda reason: None)
            asyncio.run(store._object(kind, decoded, 0, UnreadableObjects(Metrics())))
        except StoreUnavailable:
            self.assertEqual(kind, "configuration")

    @MANY
    @given(specs, depths)
    def test_entry_does_not_hide_the_one_after_it(self, spec, depth):
        separator = b"," if spec else b""
        unreadable = UnreadableObjects(Metrics())
        opened = json.dumps(spec).encode().removesuffix(b"}")
        odd = opened + separator + b'"deep":' + nested(depth) + b"}"
        items = [
            b'{"metadata":{"name":"i-%d","revision":%d},"spec":%s}' % (n, n, odd) for n in (1, 2)
        ]
        items.append(b'{"metadata":{"name":"last","revision":3},"spec":{}}')
        events = b",".join(b'{"object":%s}' % item for item in items)
        for body, shape in (
            (b'{"items":[%s],"at":9}' % b",".join(items), ListPage),
            (b'{"events":[%s],"at":9}' % events, Changes),
        ):
            page = store._decode_many(_Answer(body), shape, lambda reason: None)
            found = page.items if shape is ListPage else [event.object for event in page.events]
            self.assertEqual([item.metadata.name for item in found], ["i-1", "i-2", "last"])
            self.assertEqual(page.at, 9)
            for item in found:
                asyncio.run(store._object("upstream", item, 0, unreadable))

    @MANY
    @given(
        st.dictionaries(
            st.sampled_from(["pool", "endpoint", "slots", "born", "cold", "software_version"]),
            values,
        )
    )
    def test_record_is_parsed_so_that_peers_read_it_or_refused(self, value):
        value = {"pool": "lm", "endpoint": "10.0.0.1:80"} | value
        parsed = parse_record(WatchEvent("upstream", "i-1", 1, value), InvalidRecords())
        if parsed is not None:
            news = UpstreamNews([to_record(parsed)])
            _, (received,) = decode_frame(join_frame(1, [encode_message(news, NEWEST)]))
            self.assertEqual(received, news)


class _Answer:
    def __init__(self, body: bytes) -> None:
        self.body = body


if __name__ == "__main__":
    unittest.main()
