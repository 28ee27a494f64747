"""Check the guarantees of the fleet against what a soak's replicas, store and callers recorded.

Each check returns its findings as texts; no findings mean that the guarantee held.
"""

from collections import Counter

from benchmarks.streams import CallerStream
from tests.platform.orders import KIND, UNUSED, Order, Orders
from tests.platform.processes import ProcessFleet
from tests.platform.streams import events_of
from tests.platform.versions import Fault

EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
ROLLBACK_SECONDS = 5.0
BAD_ANSWERS = 50
# Versions with these faults give half or all of their answers badly from the start, under any load.
ALWAYS_VISIBLE_FAULTS = (Fault.FAILS, Fault.SLOW)
# A daemon that was killed, stopped or paused at most this long before a rollout was ordered may
# have delayed the version's answers or cut them off, so that a good version was rolled back.
DISTURBANCE_EFFECT_SECONDS = 6.0
FINAL_STATES = ("succeeded", "rolled_back")
NOT_RUN = 503
ONCE_PATH = "/once/"
# The prefix of the ids of requests whose workspace is restricted to one region.
REGION_BOUND_PREFIX = "n-"


def findings(fleet: ProcessFleet, orders: Orders, allowed_zones: tuple[str, ...]) -> list[str]:
    """Return a finding for each violation of a guarantee."""
    found = [
        *_find_repeated(fleet),
        *_find_false_refusals(fleet),
        *_find_outside_region(fleet, allowed_zones),
    ]
    for order in orders.orders:
        found += [
            *_find_overexposure(orders, order),
            *_find_late_requests(fleet, order),
            *_find_wrong_end(fleet, order),
        ]
    return found + _find_changed_ends(fleet) + _find_unused_end(fleet)


def stream_findings(streams: list[CallerStream]) -> list[str]:
    """Return a finding for each stream with events of two versions, or missing or repeated ones."""
    return [
        f"{stream.name} has {what}: {_describe_answers(stream)}"
        for stream in streams
        for what, is_wrong in (
            ("events of two versions", stream.is_mixed),
            ("events missing, repeated or out of order", stream.has_wrong_events),
        )
        if is_wrong
    ]


def _describe_answers(stream: CallerStream) -> str:
    """Return the first and last event of each answer, and the node that gave it."""
    answers = [(node, events_of(a)) for node, a in zip(stream.nodes, stream.answers, strict=True)]
    return ", ".join(f"{events[0]} to {events[-1]} by {node}" for node, events in answers if events)


def describe_rollouts(orders: Orders) -> list[str]:
    """Describe how each rollout went, and what its version received until the deadline."""
    lines = []
    for order in orders.orders:
        received, total = _arrivals(orders, order)
        bad = len(order.version.bad_answers)
        lines.append(f"{order}, received {received} of {total}, {bad} bad answers")
    return lines


def _arrivals(orders: Orders, order: Order) -> tuple[int, int]:
    """Return how many requests the ordered version and all versions received until its deadline."""
    started_at, deadline = order.ordered_at, order.deadline
    counts = {
        version.name: sum(started_at <= at < deadline for at in version.arrivals)
        for version in orders.versions
    }
    return counts[order.version.name], sum(counts.values())


def _received_counts(fleet: ProcessFleet) -> Counter[str]:
    """Return how often replicas received each request, by its id."""
    return Counter(
        request.headers["Request-Id"] for replica in fleet.replicas for request in replica.received
    )


def _find_repeated(fleet: ProcessFleet) -> list[str]:
    """Return the requests that ran more than once on the route whose requests must not."""
    return [
        f"{name} ran {count} times"
        for name, count in _received_counts(fleet).items()
        if count > 1 and name in fleet.calls and fleet.calls[name].target.startswith(ONCE_PATH)
    ]


def _find_false_refusals(fleet: ProcessFleet) -> list[str]:
    """Return the requests that ran although a daemon answered that they had not."""
    ran = _received_counts(fleet)
    return [
        f"{name} was refused as not run by {call.daemon.node}, and ran"
        for name, call in fleet.calls.items()
        if call.status == NOT_RUN and ran[name]
    ]


def _find_outside_region(fleet: ProcessFleet, allowed_zones: tuple[str, ...]) -> list[str]:
    """Return the requests restricted to one region that were sent to another one."""
    return [
        f"{request.headers['Request-Id']} was sent to {replica.name} in {fleet.zones[replica.name]}"
        for replica in fleet.replicas
        if fleet.zones[replica.name] not in allowed_zones
        for request in replica.received
        if request.headers["Request-Id"].startswith(REGION_BOUND_PREFIX)
    ]


def _find_overexposure(orders: Orders, order: Order) -> list[str]:
    """Return a finding if a bad version received more than its limit until the deadline."""
    if order.version.fault is Fault.NONE:
        return []
    received, total = _arrivals(orders, order)
    allowed = EXPOSE_SHARE * total + EXPOSE_SLACK
    return [f"{order}: received {received} of {total}"] if received > allowed else []


def _find_late_requests(fleet: ProcessFleet, order: Order) -> list[str]:
    """Return a finding if daemons kept sending requests to a version known to be bad.

    A version is known to be bad from its bad answer number ``BAD_ANSWERS`` on, and may receive
    requests for another ``ROLLBACK_SECONDS``. Requests count only from daemons that have run,
    reached the store and reached their peers since the version was known to be bad.
    """
    bad = sorted(order.version.bad_answers)
    if len(bad) < BAD_ANSWERS or order.version.fault is Fault.NONE:
        return []
    known_at = bad[BAD_ANSWERS - 1]
    version = order.version.name
    late = [
        request.headers["Request-Id"]
        for replica in fleet.replicas
        if fleet.versions[replica.name] == version
        for request in replica.received
        if request.at > known_at + ROLLBACK_SECONDS
        and fleet.calls[request.headers["Request-Id"]].well_since <= known_at
    ]
    return [f"{order}: {len(late)} too late, {late[:3]}"] if late else []


def _find_wrong_end(fleet: ProcessFleet, order: Order) -> list[str]:
    """Return a finding if a bad version succeeded, or a good one was rolled back for no reason."""
    if order.ended == "succeeded" and order.version.fault in ALWAYS_VISIBLE_FAULTS:
        return [f"{order}: succeeded though bad"]
    if order.ended != "rolled_back" or order.version.fault is not Fault.NONE:
        return []
    started_at = order.ordered_at - DISTURBANCE_EFFECT_SECONDS
    explained = any(started_at <= at <= order.ended_at for at in fleet.disturbed_at)
    return [] if explained else [f"{order}: rolled back though good"]


def _find_changed_ends(fleet: ProcessFleet) -> list[str]:
    """Return the statuses that replaced a final status of the same order."""
    found, spec, previous, last = [], None, None, None
    for item, gone in _changes(fleet):
        status = item.get("status")
        if gone:
            spec, previous, last = None, None, None
        elif item["spec"] != spec and _is_valid(item["spec"]):
            # The status in this item is still that of the previous order.
            spec, previous, last = item["spec"], status, None
        elif status != (last or previous):
            if (
                last
                and last["state"] in FINAL_STATES
                and last["target_version"] == spec["target_version"]
            ):
                found.append(f"status {last} became {status}")
            last = status
    return found


def _changes(fleet: ProcessFleet) -> list[tuple[dict, bool]]:
    """Return the store's changes of rollout orders, except those of the unused service."""
    return [
        (item, gone)
        for kind, item, gone in fleet.store.changes
        if kind == KIND and item["metadata"]["name"] != UNUSED
    ]


def _is_valid(spec: dict) -> bool:
    """Return whether an order is valid; an invalid one leaves the previous order in force."""
    seconds, version = spec["duration_s"], spec["target_version"]
    return isinstance(seconds, float) and seconds > 0 and isinstance(version, str) and version != ""


def _find_unused_end(fleet: ProcessFleet) -> list[str]:
    """Return a finding if the rollout of the service that nobody calls has ended."""
    status = fleet.store.objects[(KIND, UNUSED)].get("status")
    ended = bool(status) and status["state"] in FINAL_STATES
    return [f"a version that nobody called: {status}"] if ended else []
