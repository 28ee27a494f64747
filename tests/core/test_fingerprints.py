import unittest

from railsail.core.fingerprints import FINGERPRINT_BITS, fingerprint_name, request_fingerprint

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

    def test_name_has_a_fixed_length(self):
        self.assertEqual(fingerprint_name(10), "000000000000000a")


if __name__ == "__main__":
    unittest.main()
