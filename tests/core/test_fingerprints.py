import unittest
from unittest import mock

from railsail.core import fingerprints
from railsail.core.fingerprints import (
    FINGERPRINT_BITS,
    fingerprint_name,
    is_part,
    part_fingerprint,
    request_fingerprint,
)

HEAD = ("one", "POST", "a.example", "/drafts/1?page=2")


class FingerprintTests(unittest.TestCase):
    def test_repeat_has_the_same_fingerprint(self):
        self.assertEqual(request_fingerprint(HEAD, b"x"), request_fingerprint(list(HEAD), b"x"))

    def test_requests_that_differ_in_one_part_have_different_fingerprints(self):
        fingerprints = {request_fingerprint(HEAD, b"x"), request_fingerprint(HEAD, b"y")}
        for index in range(len(HEAD)):
            other = [part + "z" if at == index else part for at, part in enumerate(HEAD)]
            fingerprints.add(request_fingerprint(other, b"x"))
        fingerprints.add(request_fingerprint(("oneP", "OST", *HEAD[2:]), b"x"))
        fingerprints.add(request_fingerprint((*HEAD, "x"), b""))
        self.assertEqual(len(fingerprints), 2 + len(HEAD) + 2)

    def test_fingerprint_fits_into_messages_and_is_never_zero(self):
        for number in range(200):
            value = request_fingerprint(HEAD, b"%d" % number)
            self.assertTrue(0 < value < 1 << FINGERPRINT_BITS)

    def test_parts_and_requests_have_different_fingerprints(self):
        parts = {part_fingerprint(f"{number:x}") for number in range(2000)}
        self.assertEqual(len(parts), 2000)
        self.assertTrue(all(is_part(part) and part < 1 << FINGERPRINT_BITS for part in parts))
        with mock.patch.object(fingerprints, "_PART_TAG", request_fingerprint(HEAD, b"x") & 0xFFFF):
            self.assertFalse(is_part(request_fingerprint(HEAD, b"x")))

    def test_name_has_a_fixed_length(self):
        self.assertEqual(fingerprint_name(10), "000000000000000a")


if __name__ == "__main__":
    unittest.main()
