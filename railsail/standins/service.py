"""A stand-in for a plain service, which answers each call after a delay and logs it.

The query argument ``seconds`` of a call is the delay. ``GET /standin/log`` returns the log, and
``PUT /standin/faults`` sets ``Faults``.
"""

import asyncio
import json
import time
from dataclasses import asdict, dataclass

from tornado.httpserver import HTTPServer
from tornado.web import RequestHandler

from railsail.standins.listening import listen


@dataclass
class Faults:
    """The faults in force.

    ``leaving`` refuses all calls. ``close`` runs a call, and closes the connection without an
    answer. ``fail`` answers with status 500, and ``cross`` with another request's id.
    """

    leaving: bool = False
    close: bool = False
    fail: bool = False
    cross: bool = False


class Service:
    """A replica of a service."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.log: list[dict[str, object]] = []
        self.refused = 0


class _Call(RequestHandler):
    def initialize(self, service: Service) -> None:
        self.service = service

    def check_xsrf_cookie(self) -> None:
        pass

    async def _handle(self) -> None:
        faults = self.service.faults
        if faults.leaving:
            self._refuse()
            return
        entry = {
            "request": self.request.headers.get("X-Request-Id", ""),
            "workspace": self.request.headers.get("X-Workspace", ""),
            "path": self.request.path,
            "key": self.get_query_argument("key", ""),
            "received_at": time.time(),
            "ended_at": 0.0,
        }
        self.service.log.append(entry)
        await asyncio.sleep(float(self.get_query_argument("seconds", "0.005")))
        entry["ended_at"] = time.time()
        self._answer(entry)

    get = post = put = delete = _handle

    def _answer(self, entry: dict[str, object]) -> None:
        faults = self.service.faults
        if faults.close:
            self.request.connection.stream.close()
            return
        self.set_status(500 if faults.fail else 200)
        self.set_header("X-Request-Id", "other" if faults.cross else entry["request"])
        self.finish({"service": self.service.name, "path": self.request.path, "key": entry["key"]})

    def _refuse(self) -> None:
        self.service.refused += 1
        self.set_status(503)
        self.set_header("X-Not-Run", "true")
        self.set_header("X-Leaving", "true")
        self.finish()


class _Log(_Call):
    def get(self) -> None:
        self.finish({"runs": self.service.log, "refused": self.service.refused})


class _Faults(_Call):
    def put(self) -> None:
        self.service.faults = Faults(**json.loads(self.request.body))
        self.finish(asdict(self.service.faults))


def serve_service(name: str, ip: str, port: int) -> tuple[Service, HTTPServer]:
    """Serve a service replica at ``ip:port``, and return it and its server."""
    service = Service(name)
    routes = [
        (r"/standin/log", _Log),
        (r"/standin/faults", _Faults),
        (r"/.*", _Call),
    ]
    return service, listen(routes, {"service": service}, ip, port)
