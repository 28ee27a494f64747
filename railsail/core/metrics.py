"""The metrics of a daemon; ``docs/ref/metrics.md`` describes what to do about each."""

from aioprometheus import Registry
from aioprometheus.renderer import render

from railsail.core.collectors import Counter, Gauge, Histogram
from railsail.core.logs import DroppedLines

_LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0]


class Metrics:
    """The metrics of one daemon, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._dropped_lines = DroppedLines()
        self.requests = self._counter("railsail_requests_total", "Requests by pool and outcome.")
        self.forwarded = self._counter(
            "railsail_forwarded_total",
            "Requests answered by another node because this one was overloaded, by workspace.",
        )
        self.crowded_out = self._counter(
            "railsail_crowded_out_total",
            "Requests refused because this node was overloaded, by workspace.",
        )
        self.refused_unparsed = self._counter(
            "railsail_refused_unparsed_total",
            "Requests refused without parsing them because this node was overloaded.",
        )
        self.first_byte = self._histogram(
            "railsail_first_byte_seconds", "Seconds from a request to its first byte, by pool."
        )
        self.stages = self._histogram(
            "railsail_stage_seconds",
            "Seconds that routed requests took, by route, outcome and stage.",
        )
        self.dropped_log_lines = self._gauge(
            "railsail_log_lines_left_out", "Log lines dropped since the start, by reason."
        )
        self.queued = self._gauge("railsail_waiting_tickets", "Waiting tickets, by cell.")
        self.granted = self._counter("railsail_grants_total", "Grants made, by cell.")
        self.rollout_calls = self._counter(
            "railsail_rollout_calls_total",
            "Calls granted while a rollout runs, by pool, stage and version (target or other).",
        )
        self.returned = self._counter(
            "railsail_grants_returned_total", "Grants that arrived too late and were returned."
        )
        self.peer_bytes = self._counter(
            "railsail_peer_bytes_total", "Bytes sent to peers, by message kind."
        )
        self.peer_messages = self._counter(
            "railsail_peer_messages_total", "Messages sent to peers, by message kind."
        )
        self.store_calls = self._counter(
            "railsail_store_calls_total", "Calls to the platform's store, by operation and result."
        )
        self.unreadable_objects = self._counter(
            "railsail_store_unreadable_objects_total",
            "Objects of the store that could not be read, by kind.",
        )
        self.recovered_answers = self._counter(
            "railsail_store_recovered_answers_total",
            "Answers of the store that were not valid, from which objects were recovered, by kind.",
        )
        self.retries = self._counter("railsail_retries_total", "Calls retried, by cause.")
        self.silences = self._counter(
            "railsail_silences_total",
            "Replicas that fell silent under a repeatable request, by how the silence ended.",
        )
        self.cut_answers = self._counter(
            "railsail_cut_answers_total",
            "Answers that had begun and that this node ended early, by pool and cause.",
        )
        self.resumed_streams = self._counter(
            "railsail_resumed_streams_total",
            "Streams that callers resumed, by what this node could find out about their start.",
        )
        self.origin_read_age = self._histogram(
            "railsail_origin_read_age_seconds",
            "Age of the read with which streams without a record were continued.",
        )
        self.place_reads = self._counter(
            "railsail_place_reads_total",
            "Reads of the places where streams may have begun until now, by result.",
        )
        self.stored_streams = self._counter(
            "railsail_stored_streams_total",
            "Records of streams that this node wrote to the store, or dropped since it could not.",
        )
        self.upstream_connections = self._counter(
            "railsail_upstream_connections_total",
            "Connections used for requests to replicas, new and reused ones.",
        )
        self.upstream_connections_closed = self._counter(
            "railsail_upstream_connections_closed_total",
            "Connections to replicas that this node closed, by reason.",
        )
        self.replica_ends = self._counter(
            "railsail_replica_ends_total",
            "Replicas whose process ended while they ran requests, as observed by this node.",
        )
        self.quarantined = self._counter(
            "railsail_quarantined_total",
            "Requests not run because replicas ended while running the same request, or others with"
            " a part of its prompt, by workspace and kind (request or part).",
        )
        self.quarantine_verdicts = self._counter(
            "railsail_quarantine_verdicts_total",
            "Requests and parts of prompts that this node learnt to be quarantined, by kind.",
        )
        self.policy_errors = self._counter(
            "railsail_policy_errors_total", "Policy programs that failed at run time, by policy."
        )
        self.members = self._gauge("railsail_members", "Members seen, by state.")
        self.version = self._gauge(
            "railsail_configuration_version", "Version of the configuration in force at this node."
        )
        self.version_seen = self._gauge(
            "railsail_configuration_version_seen",
            "Newest version of the configuration that this node knows of.",
        )
        self.configuration_behind = self._gauge(
            "railsail_configuration_behind_seconds",
            "How long this node has known of a newer configuration than the one in force.",
        )
        self.configuration_rejected = self._counter(
            "railsail_configuration_rejected_total",
            "Configurations that could not be put in force, by source (store or peer).",
        )
        self.unusable_objects = self._gauge(
            "railsail_configuration_unusable_objects",
            "Objects of the configuration in force that this node cannot use, by kind.",
        )
        self.peer_messages_refused = self._counter(
            "railsail_peer_messages_refused_total",
            "Messages that were out of bounds, by kind and side (sent or received).",
        )
        self.proof_age = self._gauge(
            "railsail_store_proof_age_seconds",
            "How long the store may have had changes that this node doesn't have, by kind.",
        )
        self.rollouts_refused = self._counter(
            "railsail_rollouts_refused_total",
            "Rollouts in the store that could not be parsed, by service.",
        )
        self.rollout_stage = self._gauge(
            "railsail_rollout_stage",
            "Stage of a rollout that this node coordinates, by service (0 to 3).",
        )
        self.rollout_reserved = self._gauge(
            "railsail_rollout_reserved_calls",
            "Calls to the new version allowed so far, by service, as counted by the coordinator.",
        )
        self.rollout_ends = self._counter(
            "railsail_rollout_ends_total",
            "Rollouts finished by this node as coordinator, by service and final state.",
        )
        self.claims = self._counter("railsail_claims_total", "Claims of keys, by result.")

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(name, doc, registry=self.registry, buckets=_LATENCY_BUCKETS)

    def report_dropped_lines(self, dropped: DroppedLines) -> None:
        """Report the counts of ``dropped`` in the metrics from now on."""
        self._dropped_lines = dropped

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a scrape that accepts the formats in ``accept``."""
        self.dropped_log_lines.set({"reason": "over-budget"}, self._dropped_lines.over_budget)
        self.dropped_log_lines.set({"reason": "pipe-full"}, self._dropped_lines.pipe_full)
        return render(self.registry, accept)
