"""The platform's headers, in requests and answers, read and written."""

import unittest

from tornado.httputil import HTTPHeaders

from railsail.core.fingerprints import part_fingerprint
from railsail.platform.http import PlatformProtocol
from railsail.routing.messages import Dispatch

PROTOCOL = PlatformProtocol()


def read(**headers: str):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return PROTOCOL.read_request("POST", "/a/b?c=d", HTTPHeaders(named), b"x")


class RequestTests(unittest.TestCase):
    def test_request_is_parsed(self):
        request = read(
            Host="h",
            Request_Id="r",
            Deadline_Ms="1500",
            Authorization="bearer  the-key",
            Last_Event_Id="12",
            Token_Count="1460,80",
            Length_Hint="40",
            Prompt_Prefix="5c1e:800, 91bd:410,e440:250",
        )
        self.assertEqual((request.id, request.host, request.path), ("r", "h", "/a/b"))
        self.assertEqual(
            (request.deadline, request.key, request.last_event), (1.5, "the-key", "12")
        )
        prompt = request.prompt
        self.assertEqual((prompt.tokens, prompt.max_output, prompt.expected_output), (1460, 80, 40))
        self.assertEqual([part.tokens for part in prompt.parts], [800, 410, 250])
        self.assertEqual(prompt.affinity_key, prompt.parts[1].digest)
        self.assertEqual(prompt.shared_tokens, 1210)

    def test_prompt_without_parts_has_no_affinity(self):
        self.assertEqual(read(Token_Count="10,5").prompt.affinity_key, 0)

    def test_all_parts_but_the_last_are_shared(self):
        prompt = read(Token_Count="9,5", Prompt_Prefix="aa:1,BB:1,aa:1,cc:1").prompt
        self.assertEqual(prompt.shared_parts, (part_fingerprint("aa"), part_fingerprint("bb")))
        self.assertEqual(read(Token_Count="9,5", Prompt_Prefix="aa:9").prompt.shared_parts, ())
        self.assertEqual(read().prompt.tokens, 0)

    def test_invalid_numbers_raise(self):
        bad = [
            {"Deadline_Ms": "soon"},
            {"Deadline_Ms": "-1"},
            {"Deadline_Ms": "nan"},
            {"Token_Count": "many,1"},
            {"Token_Count": "1,1", "Prompt_Prefix": "aa:x"},
        ]
        for headers in bad:
            with self.subTest(headers=headers), self.assertRaises(ValueError):
                read(**headers)

    def test_headers_that_control_replicas_are_dropped_from_requests(self):
        controls = ["Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Wait-Ms"]
        controls += ["Expect-Version", "Expect-Instance", "Tenant", "Not-Run", "Response-Seal"]
        for control in controls:
            with self.subTest(control=control):
                given = {control.lower(): "1", "X-Other": "2"}
                sent = PROTOCOL.request_headers(read(**given), Dispatch("i-1", "", 2.0))
                self.assertNotEqual(sent.get(control), "1")
                self.assertEqual(sent["X-Other"], "2")

    def test_prompt_headers_are_forwarded_unchanged(self):
        given = {"Model": "m", "Token_Count": "7,8", "Prompt_Prefix": "aa:7", "Length_Hint": "3"}
        sent = PROTOCOL.request_headers(read(**given), Dispatch("i-1", "one", 2.0))
        for name, value in given.items():
            self.assertEqual(sent[name.replace("_", "-")], value)

    def test_resumed_stream_names_the_last_event(self):
        sent = PROTOCOL.request_headers(read(Last_Event_Id="3"), Dispatch("i-1", "", 2.0, "9"))
        self.assertEqual(sent["Last-Event-Id"], "9")
        self.assertNotIn("Tenant", sent)


class AnswerTests(unittest.TestCase):
    def test_flags_of_an_answer_are_parsed(self):
        head = PROTOCOL.read_answer(503, HTTPHeaders({"Not-Run": "1", "Request-Id": "r"}))
        self.assertEqual((head.not_run, head.misdirected, head.signed), (True, False, False))
        head = PROTOCOL.read_answer(421, HTTPHeaders())
        self.assertEqual((head.not_run, head.misdirected), (True, True))
        headers = {"Response-Seal": "s", "Content-Type": "Text/Event-Stream; charset=utf-8"}
        head = PROTOCOL.read_answer(200, HTTPHeaders(headers))
        self.assertEqual((head.signed, head.event_stream, head.not_run), (True, True, False))

    def test_headers_of_the_connection_are_dropped(self):
        headers = HTTPHeaders({"Connection": "close, X-Hop", "X-Hop": "1", "Keep-Alive": "1"})
        headers["Set-Cookie"] = "a"
        self.assertEqual(list(PROTOCOL.read_answer(200, headers).headers), ["Set-Cookie"])

    def test_headers_of_own_answers(self):
        headers = PROTOCOL.own_headers("r", 0.25)
        self.assertEqual((headers["Request-Id"], headers["Retry-After"]), ("r", "0.250"))
        self.assertNotIn("Retry-After", PROTOCOL.own_headers("r", None))


if __name__ == "__main__":
    unittest.main()
