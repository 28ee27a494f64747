"""The HTTP server of a stand-in."""

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

Routes = list[tuple[str, type[RequestHandler]]]


def listen(routes: Routes, shared: dict[str, object], ip: str, port: int) -> HTTPServer:
    """Serve ``routes`` at ``ip:port``, with ``shared`` as the arguments of each ``initialize``."""
    rules = [(pattern, handler, shared) for pattern, handler in routes]
    server = HTTPServer(Application(rules, log_function=lambda handler: None))
    server.listen(port, ip)
    return server
