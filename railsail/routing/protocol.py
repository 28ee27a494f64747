"""The typed interface to what callers and replicas of routes speak; one plug-in each.

A plug-in holds names and formats. What they mean for a request is decided by the routed path.
"""

from typing import Protocol

from tornado.httputil import HTTPHeaders

from railsail.core.registry import Registry
from railsail.routing.messages import AnswerHead, Dispatch, Origin, RoutedRequest
from railsail.upstreams.signs import AnswerSigns


class RouteProtocol(Protocol):
    """Read and write the headers of routed requests and answers."""

    def read_request(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> RoutedRequest:
        """Return the request; raise ``ValueError`` with what is wrong."""

    def read_origin(self, headers: HTTPHeaders) -> Origin:
        """Return who sent a request, without reading the rest of it."""

    def forward_headers(self, headers: HTTPHeaders, spent: float) -> HTTPHeaders:
        """Return the headers with which a request is handed on to another node.

        ``spent`` are the seconds since it came, by which its deadline is nearer.
        """

    def request_headers(self, request: RoutedRequest, dispatch: Dispatch) -> HTTPHeaders:
        """Return the headers with which ``request`` is sent to a replica."""

    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerHead:
        """Return what the head of a replica's answer says."""

    def answered_id(self, headers: HTTPHeaders) -> str:
        """Return the id of the request that an answer belongs to, nothing if it does not say."""

    def read_signs(self, status: int, headers: HTTPHeaders, wall: float) -> AnswerSigns:
        """Return what the head of a replica's answer says of the replica itself.

        ``wall`` is now, in seconds since the Unix epoch.
        """

    def own_headers(self, request_id: str, retry_after: float | None) -> HTTPHeaders:
        """Return the headers of an answer of the fleet's own; ``retry_after`` is in seconds."""


ROUTE_PROTOCOLS: Registry[type] = Registry("route protocol")
