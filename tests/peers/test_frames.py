"""Compatibility with earlier builds: their recorded frames are read and sent unchanged."""

import json
import unittest
from dataclasses import dataclass
from pathlib import Path

from railsail.peers.codec import decode_frame, encode_message, join_frame
from railsail.peers.levels import NEWEST

FRAMES = Path(__file__).parent / "frames"


@dataclass(frozen=True)
class Recorded:
    """The frame of one message, as a build of ``level`` sent it."""

    build: str
    level: int
    message: str
    frame: bytes


def recorded() -> list[Recorded]:
    """Return all recorded frames."""
    found = []
    for path in sorted(FRAMES.glob("*.json")):
        recording = json.loads(path.read_text())
        for name, text in recording["frames"].items():
            found.append(Recorded(path.stem, recording["level"], name, bytes.fromhex(text)))
    return found


class RecordedFrameTests(unittest.TestCase):
    def test_each_recorded_frame_is_read(self):
        for recorded_frame in recorded():
            with self.subTest(build=recorded_frame.build, message=recorded_frame.message):
                _, (message,) = decode_frame(recorded_frame.frame)
                self.assertEqual(type(message).__name__, recorded_frame.message)

    def test_message_for_an_earlier_build_is_encoded_as_that_build_sent_it(self):
        for recorded_frame in recorded():
            with self.subTest(build=recorded_frame.build, message=recorded_frame.message):
                time_ms, (message,) = decode_frame(recorded_frame.frame)
                sent = join_frame(time_ms, [encode_message(message, recorded_frame.level)])
                self.assertEqual(sent, recorded_frame.frame)

    def test_each_level_below_the_newest_has_recorded_frames(self):
        levels = {recorded_frame.level for recorded_frame in recorded()}
        self.assertEqual(levels, set(range(NEWEST)))


if __name__ == "__main__":
    unittest.main()
