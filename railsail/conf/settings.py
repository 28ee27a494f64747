"""The settings of a daemon: their definitions, and how they are read.

Each setting is one ``Option``. The reference page ``docs/ref/settings.md`` is made from these
definitions, so that it cannot fall behind them.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import configargparse

from railsail.conf.values import (
    Choice,
    Converter,
    Endpoint,
    EndpointList,
    IPAddress,
    Name,
    Number,
    Port,
    Secret,
)
from railsail.core.checks import Finding, error
from railsail.core.exceptions import ImproperlyConfigured

ENVIRONMENT_PREFIX = "RAILSAIL_"


@dataclass(frozen=True)
class Option:
    """One setting: its ``name``, how its text is converted, its default and its help."""

    name: str
    converter: Converter
    help: str
    default: str | None = None

    @property
    def flag(self) -> str:
        """Return the flag, as in ``--peer-port``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable, as in ``RAILSAIL_PEER_PORT``."""
        return ENVIRONMENT_PREFIX + self.name.upper()


OPTIONS = (
    Option("node_ip", IPAddress(), "IP number at which this node is reached.", "127.0.0.1"),
    Option("caller_port", Port(), "TCP port for callers.", "8080"),
    Option("admin_port", Port(), "TCP port for operators and metrics.", "8081"),
    Option("peer_port", Port(), "TCP port for links from other daemons.", "8082"),
    Option("listen_port", Number(0, 65_535), "Port to listen on for peers if it is mapped.", "0"),
    Option("failure_domain", Name(), "Failure domain of this node."),
    Option("region", Name(), "Region of this node.", "default"),
    Option("store", EndpointList(minimum=1), "Endpoints ip:port of the platform's object API."),
    Option("store_kind", Name(), "Name of the store client plug-in.", "http"),
    Option("seeds", EndpointList(), "Peer endpoints to try while the node list is unknown.", ""),
    Option("peer_secret", Secret(), "Secret that all daemons of the fleet share."),
    Option("admin_secret", Secret(), "Bearer secret of the operators' interface."),
    Option("max_body_bytes", Number(1024, 64 << 20), "Largest request body.", str(4 << 20)),
    Option("queue_per_workspace", Number(1, 100_000), "Waiting requests a workspace here.", "256"),
    Option("queue_total", Number(1, 100_000), "Waiting requests of all workspaces here.", "1024"),
    Option("cell_replicas", Number(1, 10_000), "Most replicas that one dispatcher serves.", "16"),
    Option("drain_seconds", Number(0, 86_400), "Longest wait for requests at a stop.", "120"),
    Option("leave_seconds", Number(0, 600), "Time that the balancer has to notice a stop.", "2"),
    Option("claim_seconds", Number(60, 604_800), "How long a claimed key is kept.", "3600"),
    Option(
        "scheduling",
        Choice("fleet", "cells", "local"),
        "Fair over the fleet; the others are baselines: fair in each cell, or at each daemon.",
        "fleet",
    ),
    Option("affinity", Choice("prefix", "none"), "Prefer the replica that saw a prefix.", "prefix"),
    Option("log_level", Choice("debug", "info", "warning", "error"), "Least level logged.", "info"),
)


@dataclass(frozen=True)
class Settings:
    """The checked settings; each field is documented by the ``Option`` of its name."""

    node_ip: str
    caller_port: int
    admin_port: int
    peer_port: int
    listen_port: int
    failure_domain: str
    region: str
    store: tuple[Endpoint, ...]
    store_kind: str
    seeds: tuple[Endpoint, ...]
    peer_secret: str
    admin_secret: str
    max_body_bytes: int
    queue_per_workspace: int
    queue_total: int
    cell_replicas: int
    drain_seconds: int
    leave_seconds: int
    claim_seconds: int
    scheduling: str
    affinity: str
    log_level: str

    @property
    def node_id(self) -> str:
        """Return the id of this node, which is its peer endpoint."""
        return f"{self.node_ip}:{self.peer_port}"

    def __repr__(self) -> str:
        # Settings end up in tracebacks and logs, where secrets must not be.
        return f"<Settings {self.node_id}>"


@dataclass(frozen=True)
class Parsed:
    """What the command line asked for: the settings, or only their checks."""

    settings: Settings
    check_only: bool


def parse(arguments: Sequence[str], environment: Mapping[str, str]) -> Parsed:
    """Return the settings from flags and environment variables; a flag goes first.

    Raise ``ImproperlyConfigured`` with every finding, each with the flag and variable it is about.
    """
    namespace, unknown = _parser().parse_known_args(
        list(arguments), env_vars=dict(environment), ignore_help_args=False
    )
    findings = [_unknown(word) for word in unknown]
    values = {}
    for option in OPTIONS:
        values[option.name] = _convert(option, getattr(namespace, option.name), findings)
    findings += _check_together(values)
    if findings:
        raise ImproperlyConfigured(findings)
    return Parsed(Settings(**values), namespace.check)


def _parser() -> configargparse.ArgumentParser:
    parser = configargparse.ArgumentParser(
        prog="railsaild", description="The daemon of railsail.", allow_abbrev=False
    )
    parser.add_argument("--check", action="store_true", help="Check the settings and exit.")
    for option in OPTIONS:
        parser.add_argument(
            option.flag,
            dest=option.name,
            env_var=option.variable,
            default=option.default,
            help=option.help,
        )
    return parser


def _unknown(word: str) -> Finding:
    # The word may be a misspelt secret, so that only the part before "=" is shown.
    return error("railsail.E001", "unknown argument", word.split("=")[0], "see railsaild --help")


def _convert(option: Option, text: str | None, findings: list[Finding]) -> object:
    place = f"{option.flag} ({option.variable})"
    if text is None:
        findings.append(error("railsail.E002", "is required", place, option.help))
        return None
    try:
        return option.converter.convert(text)
    except ValueError as problem:
        given = "" if option.converter.secret else f", given was {text!r}"
        message = f"{problem}{given}"
        findings.append(error("railsail.E003", message, place, option.converter.allowed))
        return None


def _check_together(values: dict[str, object]) -> list[Finding]:
    findings = []
    ports = [values[name] for name in ("caller_port", "admin_port", "peer_port")]
    known = [port for port in ports if port]
    if len(set(known)) < len(known):
        findings.append(
            error(
                "railsail.E004",
                "the three ports must differ",
                "--caller-port, --admin-port, --peer-port",
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
