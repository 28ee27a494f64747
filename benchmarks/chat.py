"""What benchmarks on the model interface share: one workspace, one pool, and a request to it."""

import json

from tornado.httpclient import HTTPRequest

from railsail.objects.catalog import hash_key

_KEY = "key-of-one"
DEADLINE_SECONDS = 8
TIMEOUT_SECONDS = 10.0


def objects() -> list[dict]:
    """Return the workspace ``one`` and the pool ``model``."""
    return [
        {"kind": "priorityclass", "name": "gold", "weight": 1.0},
        {"kind": "policy", "name": "plain"},
        {"kind": "pool", "name": "model", "upstream_kind": "engine", "cost_unit": "tokens"},
        {
            "kind": "workspace",
            "name": "one",
            "priority_class": "gold",
            "policy": "plain",
            "key_hashes": [hash_key(_KEY)],
        },
    ]


def chat_request(endpoint: str, content: str, stream: bool, **metadata: str) -> HTTPRequest:
    """Return a request to the daemon whose callers' endpoint is ``endpoint``."""
    body = {
        "model": "model",
        "stream": stream,
        "messages": [{"role": "user", "content": content}],
        "metadata": metadata,
    }
    return HTTPRequest(
        f"http://{endpoint}/v1/chat/completions",
        method="POST",
        headers={"Authorization": f"Bearer {_KEY}", "X-Deadline-Seconds": str(DEADLINE_SECONDS)},
        body=json.dumps(body),
        request_timeout=TIMEOUT_SECONDS,
    )
