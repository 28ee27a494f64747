"""The metrics of a daemon; ``docs/ref/metrics.md`` says what to do about each."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

_LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0]


class Metrics:
    """Hold the metrics of one daemon in a registry of their own."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("railsail_requests_total", "Requests by pool and outcome.")
        self.first_byte = self._histogram(
            "railsail_first_byte_seconds", "Seconds from a request to its first byte, by pool."
        )
        self.queued = self._gauge("railsail_waiting_tickets", "Tickets that wait, by cell.")
        self.granted = self._counter("railsail_grants_total", "Grants made, by cell.")
        self.returned = self._counter(
            "railsail_grants_returned_total", "Grants that came too late and were handed back."
        )
        self.peer_bytes = self._counter(
            "railsail_peer_bytes_total", "Bytes sent to peers, by kind of message."
        )
        self.peer_messages = self._counter(
            "railsail_peer_messages_total", "Messages sent to peers, by kind."
        )
        self.store_calls = self._counter(
            "railsail_store_calls_total", "Calls to the platform's store, by operation and result."
        )
        self.retries = self._counter("railsail_retries_total", "Calls tried again, by cause.")
        self.policy_errors = self._counter(
            "railsail_policy_errors_total", "Policy programs that failed at run time, by policy."
        )
        self.members = self._gauge("railsail_members", "Members seen, by state.")
        self.version = self._gauge(
            "railsail_configuration_version", "Version of the configuration in force here."
        )
        self.claims = self._counter("railsail_claims_total", "Claims of keys, by result.")

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(name, doc, registry=self.registry, buckets=_LATENCY_BUCKETS)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a scrape that accepts the formats ``accept``."""
        return render(self.registry, accept)
