"""The status of one daemon for operators, as plain data."""

from collections.abc import Mapping
from typing import Protocol

from railsail.conf.settings import Settings
from railsail.configuration.carrier import ConfigurationCarrier
from railsail.configuration.repository import ConfigurationRepository
from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.lifecycle import Lifecycle
from railsail.core.metrics import Metrics
from railsail.core.parts import Part
from railsail.dispatch.service import DispatcherService
from railsail.gateway.admission import Admission
from railsail.membership.service import Membership
from railsail.quarantine.service import Quarantine
from railsail.store.freshness import Freshness
from railsail.store.watcher import StoreWatcher
from railsail.upstreams.directory import UpstreamDirectory


class AdministeredNode(Protocol):
    """The part of ``railsail.node.Node`` that the operators' interface uses."""

    settings: Settings
    start_id: int
    lifecycle: Lifecycle
    carrier: ConfigurationCarrier
    repository: ConfigurationRepository
    watcher: StoreWatcher
    freshness: Freshness
    admission: Admission
    membership: Membership
    directory: UpstreamDirectory
    dispatchers: DispatcherService
    events: EventLog
    metrics: Metrics
    clock: Clock
    quarantine: Quarantine
    parts: Mapping[str, Part]

    def not_ready(self) -> list[str]:
        """Return the reasons why the balancer must not send callers; empty if ready."""

    def start_drain(self, cause: str) -> None:
        """Start a planned stop."""


def status(node: AdministeredNode) -> dict[str, object]:
    """Return the state, configuration version, members, replicas and cells of ``node``."""
    return {
        "node": node.settings.node_id,
        "start_id": node.start_id,
        "state": node.lifecycle.state,
        "not_ready": node.not_ready(),
        "version": node.carrier.catalog.version,
        "version_seen": node.carrier.version_seen,
        "behind_ms": round(node.carrier.behind_seconds * 1000),
        "unusable": [
            {"object": unusable.label, "problem": unusable.problem}
            for _, unusable in sorted(node.carrier.catalog.unusable.items())
        ],
        "store_reachable": node.watcher.reachable,
        "proof_age_ms": {kind: round(age * 1000) for kind, age in node.freshness.ages().items()},
        "requests": node.admission.total,
        "members": [
            {
                "node": member.node,
                "state": member.state.name.lower(),
                "admin": f"{member.node.rpartition(':')[0]}:{member.admin_port}",
                "failure_domain": member.failure_domain,
            }
            for member in node.membership.table.all()
        ],
        "upstreams": [
            {"name": upstream.name, "pool": upstream.pool, "leaving": upstream.leaving}
            for upstream in node.directory.all()
        ],
        "cells": [
            {
                "cell": str(cell),
                "waiting": len(dispatcher.queue),
                "in_flight": len(dispatcher.flights),
                "counters": dispatcher.queue.counters(),
            }
            for cell, dispatcher in node.dispatchers.dispatchers().items()
        ],
    }
