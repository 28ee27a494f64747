"""Measure the latency that an uncontended call gains by going through a daemon.

    python -m benchmarks.overhead

Each call is made directly to the stand-in upstream and through one of 8 idle daemons, in pairs. All
calls are made one after the other, and the daemons take turns.
"""

import asyncio
import json
import statistics
import time

import fire

from benchmarks import deployment as deploy
from railsail.upstreams.collector import Collector
from railsail.upstreams.http import HttpRequest, exchange

SHAPE = deploy.ASSOCIATION
KEY = "rs-demo-harbour-jobs"


class _FirstByteCollector(Collector):
    """A collector of an answer that records when the first byte of its body arrived."""

    def __init__(self) -> None:
        super().__init__()
        self.first_byte_at = 0.0

    async def data(self, chunk: bytes) -> None:
        self.first_byte_at = self.first_byte_at or time.perf_counter()
        await super().data(chunk)


async def _timed(request: HttpRequest) -> tuple[float, float]:
    """Return the seconds until the first byte of the answer and until its end."""
    receiver = _FirstByteCollector()
    started_at = time.perf_counter()
    await exchange(request, receiver)
    if receiver.status != 200:
        raise RuntimeError(f"a call failed: {receiver.body!r}")
    return receiver.first_byte_at - started_at, time.perf_counter() - started_at


def _model_request(endpoint: str, request_id: str) -> HttpRequest:
    body = {
        "model": SHAPE.model_pool,
        "stream": True,
        "prompt": "a short prompt",
        "metadata": {"output_tokens": "20"},
    }
    headers = {"Authorization": f"Bearer {KEY}", "X-Request-Id": request_id}
    return HttpRequest(endpoint, "POST", "/v1/completions", headers, json.dumps(body).encode())


async def _run(pairs: int) -> None:
    deployment = await deploy.start(SHAPE, 8)
    engine = deployment.upstreams[f"{SHAPE.model_pool}-0"]
    service = deployment.upstreams[f"{SHAPE.service_pool}-0"]
    headers = {"Authorization": f"Bearer {KEY}"}
    times: dict[str, list[float]] = {}
    try:
        await asyncio.sleep(2.0)
        for number in range(pairs):
            caller_endpoint = deployment.caller_endpoint(number)
            calls = {
                "stream direct": _model_request(engine, f"direct-{number}"),
                "stream": _model_request(caller_endpoint, "x"),
                "service direct": HttpRequest(service, "GET", "/status?seconds=0", headers),
                "service": HttpRequest(
                    caller_endpoint,
                    "GET",
                    f"/services/{SHAPE.service_pool}/status?seconds=0",
                    headers,
                ),
            }
            for name, request in calls.items():
                first_byte, whole = await _timed(request)
                times.setdefault(f"{name}, first byte", []).append(first_byte)
                times.setdefault(f"{name}, whole", []).append(whole)
        idle = [await deploy.usage(daemon) for daemon in deployment.daemons]
    finally:
        deployment.stop()
    _report(times)
    print(f"resident memory of a daemon: {max(usage.rss for usage in idle) / 1e6:.1f} MB at most")


def _report(times: dict[str, list[float]]) -> None:
    for name in ("stream", "service"):
        for measure in ("first byte", "whole"):
            routed = times[f"{name}, {measure}"]
            direct = times[f"{name} direct, {measure}"]
            added = statistics.median(r - d for r, d in zip(routed, direct, strict=True))
            ratio = statistics.median(routed) / statistics.median(direct)
            print(
                f"{name}, {measure}: direct {statistics.median(direct) * 1000:.2f} ms, "
                f"added {added * 1000:.2f} ms (median of {len(routed)} pairs), ratio {ratio:.2f}"
            )


def main(pairs: int = 200) -> None:
    """Run the experiment with ``pairs`` pairs of each kind of call."""
    asyncio.run(_run(pairs))


if __name__ == "__main__":
    fire.Fire(main)
