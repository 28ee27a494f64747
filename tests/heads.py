"""Heads of answers that are no heads by RFC 9112, for tests of all places that read answers."""

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


def with_line(line: bytes) -> bytes:
    """Return the start line and fields of an answer with two bytes, and ``line`` among them."""
    return STATUS_LINE + b"Content-Length: 2\r\n" + line + b"\r\n"


# Section 5.1: no blank stands before the colon, and a name is a token.
INVALID_NAMES = {
    "blank before the colon": with_line(b"X-A : b"),
    "tab before the colon": with_line(b"X-A\t: b"),
    "blank in the name": with_line(b"X A: b"),
    "tab in the name": with_line(b"X\tA: b"),
    "blank before the name": with_line(b" X-A: b"),
    "tab before the name": with_line(b"\tX-A: b"),
    "blank before the first name": STATUS_LINE + b" X-A: b\r\nContent-Length: 2\r\n",
    "blank before the colon of the length": STATUS_LINE + b"Content-Length : 2\r\n",
    "blank alone before the colon": with_line(b" : b"),
    "no name": with_line(b": b"),
    "null in the name": with_line(b"X\x00A: b"),
    "control byte in the name": with_line(b"X\x01A: b"),
    "control byte before the name": with_line(b"\x01X-A: b"),
    "control byte before the colon": with_line(b"X-A\x1f: b"),
    "vertical tab in the name": with_line(b"X\x0bA: b"),
    "form feed in the name": with_line(b"X\x0cA: b"),
    "carriage return in the name": with_line(b"X\rA: b"),
    "delete in the name": with_line(b"X\x7fA: b"),
    "separator in the name": with_line(b"X(A: b"),
    "byte over 127 in the name": with_line(b"X\xe9A: b"),
    "no-break space before the colon": with_line(b"X-A\xa0: b"),
    "next line in the name": with_line(b"X\x85A: b"),
}
# Sections 5.2 and 5.5.
INVALID_LINES = {
    "folded line": with_line(b"X-A: b\r\n c"),
    "line folded by a tab": with_line(b"X-A: b\r\n\tc"),
    "line folded to nothing": with_line(b"X-A: b\r\n "),
    "line without a colon": with_line(b"X-A"),
    "null in the value": with_line(b"X-A: b\x00c"),
    "control byte in the value": with_line(b"X-A: b\x01c"),
    "carriage return in the value": with_line(b"X-A: b\rX-B: c"),
    "vertical tab in the value": with_line(b"X-A: b\x0bc"),
    "delete in the value": with_line(b"X-A: b\x7fc"),
}
# Section 4.
INVALID_START_LINES = {
    "two digits": b"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n",
    "four digits": b"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n",
    "sign before the status": b"HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n",
    "letter in the status": b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n",
    "digits of another script": "HTTP/1.1 ٢٠٠ OK\r\nContent-Length: 2\r\n".encode(),
    "two blanks": b"HTTP/1.1  200 OK\r\nContent-Length: 2\r\n",
    "control byte in the reason": b"HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n",
    "blank before the version": b" HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
    "another version": b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n",
    "no version": b"200 OK\r\nContent-Length: 2\r\n",
    "lower case": b"http/1.1 200 OK\r\nContent-Length: 2\r\n",
    "no start line": b"Content-Length: 2\r\n",
}
# Section 6.
INVALID_FRAMES = {
    name: STATUS_LINE + frame + b"\r\n"
    for name, frame in {
        "negative length": b"Content-Length: -2",
        "signed length": b"Content-Length: +2",
        "length with a separator": b"Content-Length: 1_0",
        "length with a point": b"Content-Length: 2.0",
        "hexadecimal length": b"Content-Length: 0x2",
        "length of another script": b"Content-Length: \xb2",
        "empty length": b"Content-Length:",
        "two numbers in a length": b"Content-Length: 2 2",
        "two lengths": b"Content-Length: 2\r\nContent-Length: 1",
        "list of two lengths": b"Content-Length: 2, 1",
        "length of 20 digits": b"Content-Length: 10000000000000000000",
        "length and coding": b"Content-Length: 2\r\nTransfer-Encoding: chunked",
        "other coding": b"Transfer-Encoding: gzip",
        "unknown coding": b"Transfer-Encoding: xchunked",
        "empty coding": b"Transfer-Encoding:",
        "coding named twice": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    }.items()
}
INVALID_HEADS = INVALID_NAMES | INVALID_LINES | INVALID_START_LINES | INVALID_FRAMES
