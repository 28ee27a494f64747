"""An entry with invalid bytes in an answer of the store does not hide the others."""

import json
import random
import unittest
from unittest import mock

import msgspec

from railsail.core.exceptions import StoreUnavailable
from railsail.platform import recovery
from railsail.platform.recovery import recover_objects
from railsail.platform.specs import Changes, ListPage

SPEC = {"service": "lm", "addr": "10.0.0.1:80", "zone": 'z{]"}', "slots": 4, "state": "ready"}
INVALID = [b'{"service":"lm","ad', b'"\xff\xfe', b"{{{", b'{"a":}', b"\x00\x01", b'"open', b"]]"]


def item(number: int, spec: bytes) -> bytes:
    return b'{"metadata":{"name":"i-%d","revision":%d},"spec":%s}' % (number, number, spec)


def answer(invalid: bytes, count: int = 5) -> list[bytes]:
    good = json.dumps(SPEC).encode()
    return [item(n, invalid if n == 2 else good) for n in range(1, count + 1)]


class RecoveryTests(unittest.TestCase):
    def test_objects_of_a_list_are_recovered(self):
        for invalid in INVALID:
            body = b'{"items":[' + b",".join(answer(invalid)) + b'],"more":true,"at":9}'
            with self.subTest(invalid=invalid):
                page = msgspec.json.decode(recover_objects(body), type=ListPage)
                self.assertEqual([i.metadata.revision for i in page.items], [1, 2, 3, 4, 5])
                self.assertEqual((page.at, page.more), (9, True))
                specs = [json.loads(bytes(i.spec)) for i in page.items]
                self.assertEqual(specs[2:], [SPEC] * 3)
                self.assertNotIsInstance(specs[1], dict)

    def test_changes_of_a_watch_are_recovered(self):
        for invalid in INVALID:
            events = [
                b'{"gone":%s,"object":%s}' % (b"true" if n == 3 else b"false", found)
                for n, found in enumerate(answer(invalid), 1)
            ]
            body = b'{"events":[' + b",".join(events) + b'],"at":9}'
            with self.subTest(invalid=invalid):
                changes = msgspec.json.decode(recover_objects(body), type=Changes)
                recovered = [(e.object.metadata.name, e.gone) for e in changes.events]
                self.assertEqual(recovered, [(f"i-{n}", n == 3) for n in range(1, 6)])

    def test_answer_without_a_revision_is_unavailable(self):
        for body in (b"", b"<html>", b'{"items":[', b"\xff"):
            with self.subTest(body=body), self.assertRaises(StoreUnavailable):
                recover_objects(body)

    def test_random_bytes_raise_no_other_error(self):
        rng = random.Random(4)
        whole = b'{"items":[' + b",".join(answer(b"{}")) + b'],"more":false,"at":9}'
        for _ in range(500):
            body = bytearray(whole)
            for _ in range(rng.randint(1, 20)):
                body[rng.randrange(len(body))] = rng.randrange(256)
            try:
                json.loads(recover_objects(bytes(body)))
            except StoreUnavailable:
                continue

    def recovered(self, items: list[bytes], at: int = 9) -> list[tuple[str, int, bool]]:
        """Return name, revision and whether there is a spec of what is recovered from a list."""
        body = b'{"items":[' + b",".join(items) + b'],"more":false,"at":%d}' % at
        page = msgspec.json.decode(recover_objects(body), type=ListPage)
        self.assertEqual((page.at, page.more), (at, False))
        return [
            (i.metadata.name, i.metadata.revision, bytes(i.spec) != b"null") for i in page.items
        ]

    def test_object_in_a_field_of_a_sound_entry_is_not_taken_for_one_of_the_list(self):
        good = json.dumps(SPEC).encode()
        copy = b'{"metadata":{"name":"i-4","revision":7},"spec":null}'
        sound = good.removesuffix(b"}") + b',"copies":[%s,%s],"at":8,"more":true}' % (copy, copy)
        for invalid in INVALID:
            with self.subTest(invalid=invalid):
                items = [item(1, good), item(2, invalid), item(3, sound)]
                expected = [("i-1", 1, True), ("i-2", 2, False), ("i-3", 3, True)]
                self.assertEqual(self.recovered(items)[:1], expected[:1])
                self.assertEqual(self.recovered(items)[-1], expected[-1])
                self.assertEqual(len(self.recovered(items)), 3)
                self.assertEqual(self.recovered([item(1, sound), item(2, invalid)])[0][0], "i-1")

    def test_invalid_entry_makes_up_no_object_in_a_field(self):
        good = json.dumps(SPEC).encode()
        copy = b'{"metadata":{"name":"i-4","revision":7},"spec":null}'
        for text in (b'{"copy":%s,"ad":}', b'[%s,"open', b'{"copies":[%s],"at":3,"more":true,}'):
            with self.subTest(text=text):
                items = [item(1, good), item(2, text % copy), item(4, good)]
                expected = [("i-1", 1, True), ("i-2", 2, False), ("i-4", 4, True)]
                self.assertEqual(self.recovered(items), expected)
                self.assertEqual(self.recovered(items[:2]), expected[:2])

    def test_invalid_entry_makes_up_no_object_of_a_later_revision(self):
        good = json.dumps(SPEC).encode()
        copies = b'[{},{"metadata":{"name":"i-4","revision":70},"spec":null},"open'
        items = [item(1, good), item(2, copies), item(4, good)]
        self.assertEqual([name for name, _, _ in self.recovered(items)], ["i-1", "i-2", "i-4"])

    def test_invalid_entry_has_its_name_whatever_is_in_it(self):
        for name in ("m", "m\u00e9", 'm"odd', "m\\", "m/\u2028"):
            with self.subTest(name=name):
                metadata = b'{"labels":{"name":"i-0","revision":8},"name":%s,"revision":3}'
                odd = b'{"metadata":%s,"spec":{"a":}}' % (metadata % json.dumps(name).encode())
                found = self.recovered([item(1, b"{}"), odd])
                self.assertEqual(found, [("i-1", 1, True), (name, 3, False)])

    def test_text_is_decoded_a_bounded_number_of_times(self):
        good = json.dumps(SPEC).encode()
        odd = b'{"a":[' + b'{"metadata":{"name":"x"},' * 2_000
        items = [*(item(n, good) for n in range(1, 9)), item(10, odd), item(11, good)]
        lengths = []

        class Counting(json.JSONDecoder):
            def raw_decode(self, text, *rest):
                lengths.append(len(text))
                return super().raw_decode(text, *rest)

        with mock.patch.object(recovery, "_DECODER", Counting()):
            found = self.recovered(items, at=20)
        self.assertEqual((found[0][0], found[-1][0]), ("i-1", "i-11"))
        text_length = sum(len(each) for each in items)
        self.assertLess(sum(lengths), (recovery.MAX_PASSES + 4) * text_length)

    def test_removals_are_recovered_wherever_they_are_named(self):
        good = json.dumps(SPEC).encode()
        for invalid in INVALID:
            for template in (b'{"gone":%s,"object":%s}', b'{"object":%s,"gone":%s}'):
                events = []
                for number in range(1, 6):
                    found = item(number, invalid if number in (2, 5) else good)
                    gone = b"true" if number in (2, 3) else b"false"
                    pair = (gone, found) if template.startswith(b'{"gone') else (found, gone)
                    events.append(template % pair)
                for body in (
                    b'{"events":[%s],"at":9}' % b",".join(events),
                    b'{"at":9,"events":[%s]}' % b",".join(events),
                ):
                    with self.subTest(body=body):
                        changes = msgspec.json.decode(recover_objects(body), type=Changes)
                        self.assertEqual(
                            [(e.object.metadata.revision, e.gone) for e in changes.events],
                            [(n, n in (2, 3)) for n in range(1, 6)],
                        )
                        self.assertEqual(changes.at, 9)

    def test_single_surrogate_does_not_hide_other_objects(self):
        body = (
            b'{"items":[{"metadata":{"name":"a","revision":1},"spec":{"service":"\\ud800"}},'
            b'{"metadata":{"name":"b","revision":2},"spec":{"service":"lm"}}],"at":2}'
        )
        with self.assertRaises(msgspec.DecodeError):
            msgspec.json.decode(body)
        items = msgspec.json.decode(recover_objects(body))["items"]
        self.assertEqual([item["spec"]["service"] for item in items], ["\ufffd", "lm"])


if __name__ == "__main__":
    unittest.main()
