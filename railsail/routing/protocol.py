"""The interface to the headers that callers and replicas of routes use; plug-ins implement it.

A plug-in knows the names and formats. What they mean for a request is decided by the other modules
of this package.
"""

from typing import Protocol

from tornado.httputil import HTTPHeaders

from railsail.core.registry import Registry
from railsail.routing.messages import AnswerHead, Dispatch, Origin, RoutedRequest
from railsail.upstreams.signs import AnswerSigns


class RouteProtocol(Protocol):
    """Reader and writer of the headers of routed requests and answers."""

    def read_request(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> RoutedRequest:
        """Return the parsed request; raise ``ValueError`` with what is wrong."""

    def read_origin(self, headers: HTTPHeaders) -> Origin:
        """Return who sent a request, without parsing the rest of it."""

    def forward_headers(self, headers: HTTPHeaders, spent: float) -> HTTPHeaders:
        """Return the headers for forwarding a request to another node.

        ``spent`` is the time in seconds since the request arrived, which is subtracted from its
        deadline.
        """

    def request_headers(self, request: RoutedRequest, dispatch: Dispatch) -> HTTPHeaders:
        """Return the headers for sending ``request`` to a replica."""

    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerHead:
        """Return the parsed status and headers of a replica's answer."""

    def answered_id(self, headers: HTTPHeaders) -> str:
        """Return the id of the request that an answer belongs to, empty if the answer has none."""

    def read_signs(self, status: int, headers: HTTPHeaders, wall: float) -> AnswerSigns:
        """Return what the head of a replica's answer says about the replica itself.

        ``wall`` is the current time, in seconds since the Unix epoch.
        """

    def own_headers(self, request_id: str, retry_after: float | None) -> HTTPHeaders:
        """Return the headers of an answer that the fleet gives itself.

        ``retry_after`` is in seconds, ``None`` for an answer without it.
        """


ROUTE_PROTOCOLS: Registry[type] = Registry("route protocol")
