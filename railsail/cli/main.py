"""The command-line tool ``railsail``; ``docs/ref/cli.md`` lists commands and exit codes."""

import asyncio
import getpass
import inspect
import os
import secrets
import sys
from pathlib import Path

import fire

from railsail.cli.account import COLUMNS, Grouping, make_account, plot_account
from railsail.cli.client import AdminClient, Reply
from railsail.cli.explain import line_row, trace_request
from railsail.cli.files import read_objects
from railsail.cli.loglines import read_lines
from railsail.cli.output import print_to_stderr, show, show_stamp
from railsail.conf.settings import ENVIRONMENT_PREFIX
from railsail.core.checks import Finding, render
from railsail.core.events import Event, merge_logs
from railsail.objects.catalog import Catalog, Operation, hash_key
from railsail.objects.checks import check_catalog
from railsail.objects.parse import parse_resource, to_plain

EXIT_USAGE = 2
EXIT_FINDINGS = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_NOT_IN_FORCE = 6
MAX_CONCURRENT_CALLS = 32
ROLLOUT_COLUMNS = (
    "service",
    "target_version",
    "state",
    "stage",
    "verdict",
    "left_ms",
    "arrivals",
    "reserved",
    "spent",
    "coordinator",
    "reason",
)
DEFAULT_ADMIN = "127.0.0.1:8081"


def _fail(code: int, text: str) -> None:
    print_to_stderr(text)
    sys.exit(code)


class Railsail:
    """Operate a railsail fleet.

    Flags of all commands: --admin is the ip:port of the operators' interface of any daemon
    (default: RAILSAIL_ADMIN, or 127.0.0.1:8081), --output is table or json. The secret is read
    from RAILSAIL_ADMIN_SECRET.
    """

    def __init__(self, admin: str = "", output: str = "table") -> None:
        self._admin = admin or os.environ.get(ENVIRONMENT_PREFIX + "ADMIN", DEFAULT_ADMIN)
        self._output = output
        self._secret = os.environ.get(ENVIRONMENT_PREFIX + "ADMIN_SECRET", "")
        self.config = ConfigCommands(self)
        self.quarantine = QuarantineCommands(self)

    def check(self, *files: str) -> None:
        """Check the objects in FILES (JSON files or folders of them) without a daemon."""
        findings: list[Finding] = []
        resources = []
        for raw in read_objects(list(files), findings):
            resources.append(parse_resource(raw, "file", findings))
        found = [resource for resource in resources if resource is not None]
        catalog = Catalog().changed(1, [Operation(item.key, item) for item in found])
        findings += check_catalog(catalog)
        if findings:
            _fail(EXIT_FINDINGS, render(findings))
        print(f"{len(found)} objects are in order")

    def apply(self, *files: str, dry_run: bool = False) -> None:
        """Put the objects in FILES in force, all or none; --dry-run only checks them."""
        findings: list[Finding] = []
        operations = read_objects(list(files), findings)
        if findings:
            _fail(EXIT_FINDINGS, render(findings))
        self._change(operations, dry_run)

    def delete(self, kind: str, name: str) -> None:
        """Delete the object KIND NAME."""
        self._change([{"kind": kind, "name": name, "delete": True}], dry_run=False)

    def get(self, kind: str = "", name: str = "") -> None:
        """Show the objects in force, limited to KIND and NAME if given."""
        body = self._call("GET", "/v1/objects").body
        rows = [
            item
            for item in body["objects"]
            if kind in ("", item["kind"]) and name in ("", item["name"])
        ]
        show(rows, ("kind", "name", "priority_class", "policy", "weight"), self._output)

    def diff(self, *files: str) -> None:
        """Show what applying FILES would change."""
        findings: list[Finding] = []
        desired = read_objects(list(files), findings)
        parsed = [parse_resource(raw, "file", findings) for raw in desired]
        if findings:
            _fail(EXIT_FINDINGS, render(findings))
        body = self._call("GET", "/v1/objects").body
        stored = {(item["kind"], item["name"]): item for item in body["objects"]}
        rows = [_difference(stored.get(item.key), to_plain(item)) for item in parsed]
        show([row for row in rows if row], ("kind", "name", "change"), self._output)

    def status(self) -> None:
        """Show the state and version of all daemons that the daemon at --admin lists as members."""
        replies = asyncio.run(self._query_all("/v1/status"))
        rows = [_status_row(endpoint, reply) for endpoint, reply in replies]
        columns = ("node", "state", "version", "requests", "store_reachable", "not_ready")
        show(rows, columns, self._output)

    def timeline(self, request: str = "", limit: int = 200) -> None:
        """Show the merged time lines of all daemons, or only the events of --request."""
        path = f"/v1/events?request={request}&limit={limit}"
        replies = asyncio.run(self._query_all(path))
        logs = [[Event(**event) for event in reply.body.get("events", [])] for _, reply in replies]
        unreachable = [endpoint for endpoint, reply in replies if reply.status != 200]
        rows = [_event_row(event) for event in merge_logs(logs)[-limit:]]
        show(rows, ("time", "node", "kind", "request", "workspace", "detail"), self._output)
        if unreachable:
            print_to_stderr("no events from " + ", ".join(unreachable))

    def explain(self, request: str, *files: str) -> None:
        """Explain the outcome of REQUEST from the logs of all daemons in FILES or standard input.

        Each line may start with whatever a log collector puts before the JSON object.
        """
        trace = trace_request(str(request), read_lines([str(file) for file in files]))
        if not trace.lines:
            _fail(EXIT_UNAVAILABLE, f"the logs tell nothing of {request}; {trace.missing_lines}")
        rows = [line_row(line) for line in trace.lines]
        show(rows, ("time", "node", "event", "facts"), self._output)
        print_to_stderr(trace.cause)

    def account(self, *files: str, by: str = Grouping.ROUTE, plot: str = "") -> None:
        """Count the served, late, refused and lost requests in the logs in FILES.

        --by groups them by route (default), workspace, node or second; --plot names a PNG file for
        a bar chart. Daemons log only a sample of the requests that go well, unless their
        --log-requests-per-second is raised.
        """
        if by not in set(Grouping):
            _fail(EXIT_USAGE, f"--by is one of {', '.join(Grouping)}, given was {by!r}")
        rows = make_account(read_lines([str(file) for file in files]), Grouping(by))
        if not rows:
            _fail(EXIT_UNAVAILABLE, "the logs tell of no request")
        show([row.columns() for row in rows], COLUMNS, self._output)
        if plot:
            plot_account(rows, Path(plot))

    def drain(self) -> None:
        """Request the daemon at --admin to drain, and so to stop without cutting requests."""
        reply = self._call("POST", "/v1/drain")
        print(reply.body["state"])

    def key(self) -> None:
        """Generate a bearer key for a workspace, and the hash for the workspace's object."""
        key = "rs-" + secrets.token_urlsafe(24)
        show([{"key": key, "key_hash": hash_key(key)}], ("key", "key_hash"), self._output)

    def _change(self, operations: list[dict[str, object]], dry_run: bool) -> None:
        base = self._call("GET", "/v1/objects").body["version"]
        change = {
            "id": secrets.token_hex(8),
            "author": getpass.getuser(),
            "base": base,
            "operations": operations,
            "dry_run": dry_run,
        }
        reply = self._call("POST", "/v1/changes", change)
        result = "checked against version" if dry_run else "accepted as version"
        print(f"{result} {reply.body['version']}")

    def rollouts(self) -> None:
        """Show the rollouts of services, as reported by the coordinator of each."""
        replies = asyncio.run(self._query_all("/v1/rollouts"))
        show(_rollout_rows(replies), ROLLOUT_COLUMNS, self._output)

    def _call(self, method: str, path: str, body: object = None) -> Reply:
        client = AdminClient(self._admin, self._secret)
        reply = asyncio.run(client.call(method, path, body))
        if reply.status in (200, 202):
            return reply
        if reply.status == 422:
            findings = [Finding(**item) for item in reply.body["findings"]]
            _fail(EXIT_FINDINGS, render(findings))
        codes = {409: EXIT_CONFLICT}
        message = str(reply.body.get("error", reply.status))
        _fail(codes.get(reply.status, EXIT_UNAVAILABLE), message)
        return reply

    async def _query_all(self, path: str) -> list[tuple[str, Reply]]:
        status = await AdminClient(self._admin, self._secret).call("GET", "/v1/status")
        if status.status != 200:
            _fail(EXIT_UNAVAILABLE, str(status.body.get("error")))
        members = [m for m in status.body["members"] if m["state"] != "dead"]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def query(endpoint: str) -> tuple[str, Reply]:
            async with semaphore:
                return endpoint, await AdminClient(endpoint, self._secret).call("GET", path)

        return await asyncio.gather(*(query(member["admin"]) for member in members))


def _rollout_rows(replies: list[tuple[str, Reply]]) -> list[dict[str, object]]:
    """Return a row for each service, from the daemon with the most columns: its coordinator."""
    rows: dict[str, dict[str, object]] = {}
    for _, reply in replies:
        for row in reply.body.get("rollouts", []) if reply.status == 200 else []:
            if len(row) > len(rows.get(row["service"], {})):
                rows[row["service"]] = row
    return [rows[service] for service in sorted(rows)]


class ConfigCommands:
    """Inspect the configuration in force."""

    def __init__(self, tool: Railsail) -> None:
        self._tool = tool

    def status(self) -> None:
        """Show the version in force at each daemon; the exit code is 6 if they differ."""
        replies = asyncio.run(self._tool._query_all("/v1/status"))
        rows = [_status_row(endpoint, reply) for endpoint, reply in replies]
        show(rows, ("node", "version"), self._tool._output)
        versions = {row["version"] for row in rows}
        if len(versions) > 1:
            _fail(EXIT_NOT_IN_FORCE, "not in force everywhere yet")
        print_to_stderr(f"version {versions.pop()} is in force everywhere")


class QuarantineCommands:
    """Inspect requests during which replicas crashed, and allow them to run again."""

    def __init__(self, tool: Railsail) -> None:
        self._tool = tool

    def list(self) -> None:
        """Show which requests and parts of prompts crashed replicas, and how long each is held."""
        body = self._tool._call("GET", "/v1/quarantine").body
        rows = [{**row, "replicas": " ".join(row["replicas"])} for row in body["requests"]]
        show(rows, ("request", "kind", "ends", "held_seconds", "replicas"), self._tool._output)

    def lift(self, request: str) -> None:
        """Allow REQUEST, the fingerprint of a request or a part, to run again at all daemons."""
        reply = self._tool._call("DELETE", f"/v1/quarantine/{request}")
        print(reply.body["state"])


def _status_row(endpoint: str, reply: Reply) -> dict[str, object]:
    if reply.status != 200:
        return {"node": endpoint, "state": "no answer", "version": "?"}
    return reply.body


def _difference(stored: dict[str, object] | None, desired: dict[str, object]) -> dict | None:
    row = {"kind": desired["kind"], "name": desired["name"]}
    if stored is None:
        return {**row, "change": "new"}
    fields = [name for name in desired if desired[name] != stored.get(name)]
    if not fields:
        return None
    return {**row, "change": ", ".join(f"{n}: {stored.get(n)} -> {desired[n]}" for n in fields)}


def _event_row(event: Event) -> dict[str, object]:
    return {
        "time": show_stamp(event.stamp),
        "node": event.node,
        "kind": event.kind,
        "request": event.request,
        "workspace": event.workspace,
        "detail": event.description,
    }


_GROUPS = (("", Railsail), ("config ", ConfigCommands), ("quarantine ", QuarantineCommands))


def commands_help() -> str:
    """Return the help text of the tool, with one line for each command."""
    lines = [inspect.cleandoc(Railsail.__doc__), "", "Commands:"]
    for prefix, group in _GROUPS:
        for name, command in inspect.getmembers(group, inspect.isfunction):
            if not name.startswith("_"):
                summary = inspect.cleandoc(command.__doc__).splitlines()[0]
                lines.append(f"  railsail {prefix}{name:<10}  {summary}")
    lines += ["", "railsail COMMAND --help shows the flags of a command."]
    return "\n".join(lines)


def main() -> None:
    """Run the command-line tool."""
    if sys.argv[1:] in ([], ["--help"], ["-h"], ["help"]):
        print(commands_help())
        return
    # By default, fire shows help in a pager, which waits for a key.
    os.environ.setdefault("PAGER", "cat")
    fire.Fire(Railsail, name="railsail")


if __name__ == "__main__":
    main()
