"""An entry with invalid bytes in an answer of the store does not hide the others."""

import json
import random
import unittest

import msgspec

from railsail.core.exceptions import StoreUnavailable
from railsail.platform.objects import Changes, ListPage
from railsail.platform.recovery import recover_objects

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
