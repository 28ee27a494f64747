"""The settings of a daemon: their definitions and how they are read.

Each setting is an ``Option``. The reference page ``docs/ref/settings.md`` is generated from these
definitions, so that it is always up to date.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NoReturn

import configargparse

from railsail.conf.values import (
    Choice,
    Converter,
    Decimal,
    Endpoint,
    EndpointList,
    Integer,
    IPAddress,
    Modules,
    Name,
    NameMap,
    Optional,
    Port,
    Secret,
)
from railsail.core.checks import Finding, error
from railsail.core.exceptions import ImproperlyConfigured

ENVIRONMENT_PREFIX = "RAILSAIL_"
_SECRETS = ("peer_secret", "admin_secret")


@dataclass(frozen=True)
class Option:
    """A setting: its name, the converter of its text, its help text and its default.

    A setting without a default is required.
    """

    name: str
    converter: Converter
    help: str
    default: str | None = None

    @property
    def flag(self) -> str:
        """Return the flag, such as ``--peer-port``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable, such as ``RAILSAIL_PEER_PORT``."""
        return ENVIRONMENT_PREFIX + self.name.upper()


OPTIONS = (
    Option("node_ip", IPAddress(), "IP address at which this node is reached.", "127.0.0.1"),
    Option("caller_port", Port(), "TCP port for callers.", "8080"),
    Option("admin_port", Port(), "TCP port for operators and metrics.", "8081"),
    Option("peer_port", Port(), "TCP port for links from other daemons.", "8082"),
    Option(
        "forward_port",
        Integer(0, 65_535),
        "TCP port for requests that other daemons forward; 0 takes a free one.",
        "0",
    ),
    Option(
        "listen_port",
        Integer(0, 65_535),
        "TCP port to listen on for peers, if the peer port is mapped to another one; 0 for the "
        "peer port itself.",
        "0",
    ),
    Option("failure_domain", Name(), "Failure domain of this node."),
    Option(
        "region",
        Name(),
        "Region of this node, unless domain-regions has one for its failure domain.",
        "default",
    ),
    Option("store", EndpointList(minimum=1), "Endpoints ip:port of the platform's object API."),
    Option("store_kind", Name(), "Name of the store client plug-in.", "http"),
    Option("watch_seconds", Decimal(0.1, 300), "Maximum length of a watch on the store.", "25"),
    Option(
        "node_list",
        Choice("store", "seeds"),
        "Where this node finds its peers: in the store and among the seeds, or among the seeds "
        "only.",
        "store",
    ),
    Option("seeds", EndpointList(), "Peer endpoints to try before the node list is known.", ""),
    Option(
        "network",
        Choice("open", "closed"),
        "Whether anyone besides daemons, callers and operators can reach the ports of this node; "
        "on a closed network the secrets may be left out.",
        "open",
    ),
    Option(
        "peer_secret",
        Optional(Secret()),
        "Secret shared by all daemons of the fleet; without it, links are not authenticated.",
        "",
    ),
    Option(
        "admin_secret",
        Optional(Secret()),
        "Bearer secret of operators; without it, only health checks and metrics are served.",
        "",
    ),
    Option("plugins", Modules(), "Modules to import for their plug-ins.", ""),
    Option(
        "caller_interface",
        Name(),
        "The protocol of callers: `native`, or the name of a plug-in that serves routes.",
        "native",
    ),
    Option("retry_ratio", Decimal(0, 10), "Retries allowed per request of a pool.", "0.1"),
    Option(
        "retry_slack",
        Decimal(0, 1_000_000),
        "Retries allowed in addition to the ratio, for the whole fleet.",
        "10",
    ),
    Option(
        "retry_window_seconds", Decimal(0.1, 3600), "Window over which retries are limited.", "10"
    ),
    Option(
        "cold_over",
        Decimal(0, 1000),
        "Calls per second to a cold replica, as a multiple of those that it can sustain.",
        "1",
    ),
    Option(
        "cold_slack",
        Decimal(0, 1_000_000),
        "Calls per second that a cold replica may get in addition to cold-over.",
        "0",
    ),
    Option(
        "expose_share",
        Decimal(0, 1),
        "Part of a service's calls that the new version of a rollout may get before its deadline; "
        "0 turns the coordination of rollouts off.",
        "0",
    ),
    Option(
        "expose_slack",
        Decimal(0, 1_000_000),
        "Calls that the new version may get in addition to expose-share.",
        "0",
    ),
    Option(
        "rollback_ms",
        Integer(1, 3_600_000),
        "Time in milliseconds after which a new version found to be bad gets no more calls.",
        "5000",
    ),
    Option(
        "domain_regions",
        NameMap(),
        "The region of each failure domain of nodes and replicas; if there are several regions, "
        "each dispatches its own replicas.",
        "",
    ),
    Option("max_body_bytes", Integer(1024, 64 << 20), "Maximum request body.", str(4 << 20)),
    Option(
        "buffered_mb",
        Integer(1, 65_536),
        "Maximum memory in MiB for the bodies of all requests and answers that are held at a time. "
        "They take up to twice as much while they are passed on. A request without room is "
        "refused, an answer without room ends.",
        "32",
    ),
    Option(
        "open_files",
        Integer(0, 100_000_000),
        "Maximum number of open files and connections of this process; 0 takes the system's limit.",
        "0",
    ),
    Option(
        "keep_connections_seconds",
        Decimal(0, 300),
        "How long idle connections to replicas of routes are kept, unless a replica announces a "
        "shorter time; 0 opens a connection for each request.",
        "0",
    ),
    Option(
        "queue_per_workspace",
        Integer(1, 100_000),
        "Maximum number of requests of one workspace in flight at this node.",
        "256",
    ),
    Option(
        "queue_total",
        Integer(1, 100_000),
        "Maximum number of requests of all workspaces in flight at this node.",
        "1024",
    ),
    Option("cell_replicas", Integer(1, 10_000), "Maximum number of replicas of a cell.", "16"),
    Option("drain_seconds", Decimal(0, 86_400), "Maximum wait for requests at a stop.", "120"),
    Option(
        "leave_seconds", Decimal(0, 600), "Time for the balancer to notice that a node stops.", "2"
    ),
    Option("claim_seconds", Integer(60, 604_800), "How long a claimed key is kept.", "3600"),
    Option(
        "first_start",
        Choice("true", "false"),
        "Whether the fleet starts for the first time, so that callers have no streams to resume.",
        "false",
    ),
    Option(
        "scheduling",
        Choice("fleet", "cells", "local"),
        "Scope of fairness: the whole fleet. The others are baselines: each cell, or each daemon.",
        "fleet",
    ),
    Option(
        "fair_window_seconds",
        Decimal(0, 3600),
        "Window over which workspaces get their fair shares; with 0, idle ones earn no credit.",
        "0",
    ),
    Option(
        "affinity",
        Choice("prefix", "none"),
        "Whether to prefer the replica that has cached the prompt prefix of a request.",
        "prefix",
    ),
    Option(
        "log_level", Choice("debug", "info", "warning", "error"), "Minimum level logged.", "info"
    ),
    Option(
        "log_lines_per_second",
        Integer(1, 100_000),
        "Maximum log lines per second; ordinary lines may use half of them.",
        "200",
    ),
    Option(
        "log_requests_per_second",
        Decimal(0, 100_000),
        "Requests per second that are logged with all events, even if they go well.",
        "10",
    ),
)


@dataclass(frozen=True)
class Settings:
    """The checked settings; each field is documented by the ``Option`` of its name."""

    node_ip: str
    caller_port: int
    admin_port: int
    peer_port: int
    forward_port: int
    listen_port: int
    failure_domain: str
    region: str
    store: tuple[Endpoint, ...]
    store_kind: str
    watch_seconds: float
    node_list: str
    seeds: tuple[Endpoint, ...]
    network: str
    peer_secret: str
    admin_secret: str
    plugins: tuple[str, ...]
    caller_interface: str
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    cold_over: float
    cold_slack: float
    expose_share: float
    expose_slack: float
    rollback_ms: int
    domain_regions: dict[str, str]
    max_body_bytes: int
    buffered_mb: int
    open_files: int
    keep_connections_seconds: float
    queue_per_workspace: int
    queue_total: int
    cell_replicas: int
    drain_seconds: float
    leave_seconds: float
    claim_seconds: int
    first_start: str
    scheduling: str
    fair_window_seconds: float
    affinity: str
    log_level: str
    log_lines_per_second: int
    log_requests_per_second: float

    @property
    def node_id(self) -> str:
        """Return the id of this node, which is its peer endpoint."""
        return f"{self.node_ip}:{self.peer_port}"

    def __repr__(self) -> str:
        # Tracebacks and logs contain representations of settings, and must not contain secrets.
        return f"<Settings {self.node_id}>"


@dataclass(frozen=True)
class Parsed:
    """The settings, and whether the command line only asks to check them."""

    settings: Settings
    check_only: bool


def parse(arguments: Sequence[str], environment: Mapping[str, str]) -> Parsed:
    """Return the settings from flags, environment variables and a file, in order of precedence.

    Raise ``ImproperlyConfigured`` with all findings, each with its flag and variable.
    """
    try:
        namespace, unknown = _parser().parse_known_args(
            list(arguments), env_vars=dict(environment), ignore_help_args=False
        )
    except _ParserError as problem:
        raise ImproperlyConfigured([_unreadable(problem)]) from None
    findings = [_unknown_argument(argument) for argument in unknown]
    values = {}
    for option in OPTIONS:
        values[option.name] = _convert(option, getattr(namespace, option.name), findings)
    findings += _check_together(values)
    if findings:
        raise ImproperlyConfigured(findings)
    return Parsed(Settings(**values), namespace.check)


class _ParserError(Exception):
    """The arguments or the settings file can't be parsed."""


class _Parser(configargparse.ArgumentParser):
    """A parser that raises an exception on errors instead of exiting."""

    def error(self, message: str) -> NoReturn:
        raise _ParserError(message)


def _parser() -> configargparse.ArgumentParser:
    parser = _Parser(prog="railsaild", description="The daemon of railsail.", allow_abbrev=False)
    parser.add_argument("--check", action="store_true", help="Check the settings and exit.")
    parser.add_argument(
        "--settings-file",
        is_config_file=True,
        env_var=ENVIRONMENT_PREFIX + "SETTINGS_FILE",
        help="File of lines `name = value`; flags and variables take precedence over it.",
    )
    for option in OPTIONS:
        parser.add_argument(
            option.flag,
            dest=option.name,
            env_var=option.variable,
            default=option.default,
            help=option.help,
        )
    return parser


def _unreadable(problem: Exception) -> Finding:
    return error("railsail.E006", f"cannot be read: {problem}", "--settings-file or arguments")


def _unknown_argument(argument: str) -> Finding:
    # It may be a misspelt secret, so only the part before "=" is shown.
    return error(
        "railsail.E001", "unknown argument", argument.split("=")[0], "see railsaild --help"
    )


def _convert(option: Option, text: str | None, findings: list[Finding]) -> object:
    place = f"{option.flag} ({option.variable})"
    if text is None:
        findings.append(error("railsail.E002", "is required", place, option.help))
        return None
    try:
        return option.converter.convert(text)
    except ValueError as problem:
        received_value = "" if option.converter.secret else f" (got {text!r})"
        message = f"{problem}{received_value}"
        findings.append(error("railsail.E003", message, place, option.converter.allowed))
        return None


def _secret_missing(name: str) -> Finding:
    place = f"--{name.replace('_', '-')} ({ENVIRONMENT_PREFIX}{name.upper()})"
    return error("railsail.E002", "is required", place, "unless the network is closed to others")


def _check_together(values: dict[str, object]) -> list[Finding]:
    findings = []
    if values["network"] != "closed":
        findings += [_secret_missing(name) for name in _SECRETS if values[name] == ""]
    names = ("caller_port", "admin_port", "peer_port", "forward_port")
    ports = [values[name] for name in names]
    nonzero = [port for port in ports if port]
    if len(set(nonzero)) < len(nonzero):
        findings.append(
            error(
                "railsail.E004",
                "the ports must differ",
                "--caller-port, --admin-port, --peer-port, --forward-port",
            )
        )
    if values["peer_secret"] and values["peer_secret"] == values["admin_secret"]:
        findings.append(
            error(
                "railsail.E005",
                "the two secrets must differ",
                "--peer-secret, --admin-secret",
                "an operator's secret must not open links between daemons",
            )
        )
    return findings
