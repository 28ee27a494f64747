"""Records the frames that a build sends to its peers, with one sample of each message.

    PYTHONPATH=DIR python tests/peers/record.py LEVEL > tests/peers/frames/LEVEL.json

DIR holds the sources of a build of protocol level LEVEL. Each build records its frames once.
"""

import json
import sys
import typing

import msgspec


def sample(kind: type) -> object:
    """Return a value of ``kind``, the same for each call."""
    origin = typing.get_origin(kind)
    if origin is typing.Annotated:
        kind, meta = typing.get_args(kind)
        return _within(kind, meta)
    if origin is list:
        return [sample(typing.get_args(kind)[0])]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        hints = typing.get_type_hints(kind, include_extras=True)
        return kind(**{name: sample(hints[name]) for name in kind.__struct_fields__})
    return {int: 7, str: "a", bytes: b"b", bool: True, float: 0.5}[kind]


def _within(kind: type, meta: msgspec.Meta) -> object:
    if kind is bytes:
        return b"b" * (meta.min_length or 1)
    if kind is int:
        return min(7, meta.le if meta.le is not None else 7)
    return sample(kind)


def main() -> None:
    """Print the frames of the imported build as JSON, by message."""
    from railsail.peers.codec import encode_message, join_frame
    from railsail.peers.messages import AnyMessage

    frames = {
        kind.__name__: join_frame(1, [encode_message(sample(kind))]).hex()
        for kind in typing.get_args(AnyMessage)
    }
    json.dump({"level": int(sys.argv[1]), "frames": frames}, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
