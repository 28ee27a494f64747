"""The operators' HTTP interface; ``docs/ref/admin.md`` describes it."""

import hmac
import json

import msgspec
from tornado.web import Application, HTTPError, RequestHandler

from railsail.admin.status import AdministeredNode, status
from railsail.configuration.changes import ConfigurationConflict, Proposal, snapshot
from railsail.core.checks import Finding, error
from railsail.core.exceptions import ImproperlyConfigured, StoreUnavailable
from railsail.core.fingerprints import fingerprint_kind, fingerprint_name
from railsail.objects.catalog import Operation
from railsail.objects.checks import check_catalog
from railsail.objects.kinds import KINDS
from railsail.objects.parse import parse_resource
from railsail.quarantine.table import Suspect
from railsail.rollouts.part import NAME as ROLLOUTS

MAX_EVENTS = 4096
MAX_BODY_BYTES = 2 << 20


class _Handler(RequestHandler):
    """Base class of the handlers: JSON bodies, and authentication by a bearer secret."""

    is_public = False

    def initialize(self, node: AdministeredNode) -> None:
        self.node = node

    def check_xsrf_cookie(self) -> None:
        """Do nothing: operators authenticate by a bearer secret, not by cookies."""

    def prepare(self) -> None:
        if self.is_public:
            return
        scheme, _, secret = self.request.headers.get("Authorization", "").partition(" ")
        expected = self.node.settings.admin_secret
        if not expected:
            raise HTTPError(403, reason="this node has no admin secret")
        if scheme.lower() != "bearer" or not hmac.compare_digest(
            secret.encode(), expected.encode()
        ):
            raise HTTPError(401)

    def reply(self, body: object, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(msgspec.to_builtins(body)))

    def write_error(self, status_code: int, **kwargs: object) -> None:
        self.reply({"error": self._reason}, status_code)

    def json_body(self) -> dict[str, object]:
        try:
            body = json.loads(self.request.body)
        except (ValueError, RecursionError):
            raise HTTPError(400, reason="the body is not JSON") from None
        if not isinstance(body, dict):
            raise HTTPError(400, reason="the body must be a JSON object")
        return body

    def reply_findings(self, findings: list[Finding]) -> None:
        self.reply({"findings": findings}, 422)


class _Live(_Handler):
    is_public = True

    def get(self) -> None:
        self.reply({"state": self.node.lifecycle.state})


class _Ready(_Handler):
    is_public = True

    def get(self) -> None:
        reasons = self.node.not_ready()
        self.reply({"ready": not reasons, "reasons": reasons}, 503 if reasons else 200)


class _Metrics(_Handler):
    def prepare(self) -> None:
        if self.node.settings.admin_secret:
            super().prepare()

    def get(self) -> None:
        for kind, age in self.node.freshness.ages().items():
            self.node.metrics.proof_age.set({"kind": kind}, age)
        self.node.metrics.configuration_behind.set({}, self.node.carrier.behind_seconds)
        body, headers = self.node.metrics.render(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class _Status(_Handler):
    def get(self) -> None:
        self.reply(status(self.node))


class _Events(_Handler):
    def get(self) -> None:
        request = self.get_query_argument("request", "")
        since = self._number("since", 0)
        limit = min(self._number("limit", 1000), MAX_EVENTS)
        self.reply({"events": self.node.events.select(request, since, limit)})

    def _number(self, name: str, default: int) -> int:
        text = self.get_query_argument(name, str(default))
        if not text.isdigit() or len(text) > 19:
            raise HTTPError(400, reason=f"{name} must be a whole number")
        return int(text)


class _Objects(_Handler):
    def get(self) -> None:
        self.reply(snapshot(self.node.carrier.catalog))


class _Changes(_Handler):
    async def post(self) -> None:
        body = self.json_body()
        findings: list[Finding] = []
        proposal = parse_proposal(body, self.node.carrier.catalog.version, findings)
        if findings:
            self.reply_findings(findings)
            return
        if body.get("dry_run"):
            self._check_only(proposal)
            return
        await self._commit(proposal)

    def _check_only(self, proposal: Proposal) -> None:
        catalog = self.node.carrier.catalog
        findings = check_catalog(catalog.changed(catalog.version + 1, proposal.operations))
        if findings:
            self.reply_findings(findings)
        else:
            self.reply({"version": catalog.version, "checked": True})

    async def _commit(self, proposal: Proposal) -> None:
        try:
            committed = await self.node.repository.commit(proposal, self.node.carrier.catalog)
        except ImproperlyConfigured as problem:
            self.reply_findings(problem.findings)
        except ConfigurationConflict as problem:
            self.reply({"error": str(problem), "other": problem.other}, 409)
        except StoreUnavailable as problem:
            self.reply({"error": str(problem), "id": proposal.id}, 503)
        else:
            self.node.carrier.committed(committed)
            self.reply({"version": committed.catalog.version, "id": proposal.id})


class _Quarantine(_Handler):
    def get(self) -> None:
        now = self.node.clock.monotonic()
        requests = [_quarantine_row(s, now) for s in self.node.quarantine.standings()]
        self.reply({"requests": requests})


class _QuarantinedRequest(_Handler):
    def delete(self, name: str) -> None:
        if not self.node.quarantine.lift(int(name, 16)):
            raise HTTPError(404, reason=f"no replica ended under request {name}")
        self.reply({"request": name, "state": "cleared"})


def _quarantine_row(suspect: Suspect, now: float) -> dict[str, object]:
    return {
        "request": fingerprint_name(suspect.fingerprint),
        "kind": fingerprint_kind(suspect.fingerprint),
        "ends": len(suspect.ends),
        "replicas": suspect.replicas,
        "held_seconds": max(0, round(suspect.held_until - now)),
    }


class _Rollouts(_Handler):
    def get(self) -> None:
        self.reply({"rollouts": self.node.parts[ROLLOUTS].rows()})


class _Drain(_Handler):
    def post(self) -> None:
        self.node.start_drain("operator")
        self.reply({"state": self.node.lifecycle.state}, 202)


def parse_proposal(body: dict[str, object], version: int, findings: list[Finding]) -> Proposal:
    """Return the change that ``body`` proposes, and add its faults to ``findings``."""
    base = body.get("base", version)
    if not isinstance(base, int) or isinstance(base, bool) or base < 0:
        findings.append(error("railsail.E015", "must be a whole number", "base"))
        base = version
    names = {}
    for field in ("id", "author"):
        names[field] = body.get(field)
        if not isinstance(names[field], str) or not 0 < len(names[field]) <= 100:
            findings.append(error("railsail.E015", "must be 1 to 100 characters", field))
    items = body.get("operations")
    if not isinstance(items, list) or not items:
        findings.append(error("railsail.E015", "must be a list, not empty", "operations"))
        items = []
    parsed = [_parse_operation(item, index, findings) for index, item in enumerate(items)]
    operations = tuple(operation for operation in parsed if operation is not None)
    return Proposal(str(names["id"]), str(names["author"]), base, operations)


def _parse_operation(item: object, index: int, findings: list[Finding]) -> Operation | None:
    place = f"operations[{index}]"
    if not isinstance(item, dict):
        findings.append(error("railsail.E010", "an operation must be a mapping", place))
        return None
    if item.get("delete"):
        kind, name = item.get("kind"), item.get("name")
        if kind not in KINDS or not isinstance(name, str):
            findings.append(error("railsail.E011", "unknown kind or no name", place))
            return None
        return Operation((kind, name), None)
    resource = parse_resource(item, place, findings)
    return Operation(resource.key, resource) if resource is not None else None


def application(node: AdministeredNode) -> Application:
    """Return the tornado application that serves the operators' interface of ``node``."""
    arguments = {"node": node}
    rules = [
        (r"/live", _Live, arguments),
        (r"/ready", _Ready, arguments),
        (r"/metrics", _Metrics, arguments),
        (r"/v1/status", _Status, arguments),
        (r"/v1/events", _Events, arguments),
        (r"/v1/objects", _Objects, arguments),
        (r"/v1/changes", _Changes, arguments),
        (r"/v1/drain", _Drain, arguments),
        (r"/v1/rollouts", _Rollouts, arguments),
        (r"/v1/quarantine", _Quarantine, arguments),
        (r"/v1/quarantine/([0-9a-f]{16})", _QuarantinedRequest, arguments),
    ]
    return Application(rules, log_function=lambda handler: None)
