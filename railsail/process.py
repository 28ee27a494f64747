"""The daemon's process: settings, signals and exit codes."""

import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence

import railsail
from railsail.conf.settings import Settings, parse
from railsail.core.clock import SteadyEventLoop
from railsail.core.decisions import DecisionLog
from railsail.core.exceptions import ImproperlyConfigured
from railsail.core.logs import DroppedLines, configure_logs, get_logger
from railsail.node import Node

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_IMPROPERLY_CONFIGURED = 2


def run() -> None:
    """Read the settings, run until a planned stop is complete, and exit."""
    # The settings may change after they were read, and before there is a node to reload them.
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: early_reloads.append(number))
    try:
        parsed = parse(sys.argv[1:], os.environ)
    except ImproperlyConfigured as problem:
        print(problem, file=sys.stderr)
        sys.exit(EXIT_IMPROPERLY_CONFIGURED)
    if parsed.check_only:
        print("the settings are in order")
        sys.exit(EXIT_OK)
    settings = parsed.settings
    dropped = configure_logs(settings.log_level, settings.node_id, settings.log_lines_per_second)
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        sys.exit(runner.run(_run(settings, dropped, early_reloads)))


async def _run(settings: Settings, dropped: DroppedLines, early_reloads: Sequence[int]) -> int:
    node = Node(settings)
    decisions = DecisionLog(node.clock, settings.log_requests_per_second)
    node.events.on_emit(decisions.handle)
    node.metrics.report_dropped_lines(dropped)
    get_logger().info("start", start_id=node.start_id, version=railsail.__version__)
    stop_now = asyncio.Event()
    _listen_to_signals(node, stop_now)
    if early_reloads:
        reload(node, sys.argv[1:], os.environ)
    try:
        await node.start()
    except OSError as problem:
        get_logger().error("cannot start", reason=str(problem))
        return EXIT_FAILED
    drained = asyncio.ensure_future(node.run_until_drained())
    stopped_now = asyncio.ensure_future(stop_now.wait())
    await asyncio.wait([drained, stopped_now], return_when=asyncio.FIRST_COMPLETED)
    requests = node.requests
    await node.stop()
    get_logger().info("stop", requests_cut=requests)
    return EXIT_FAILED if requests else EXIT_OK


def _listen_to_signals(node: Node, stop_now: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    signals = []

    def on_signal(number: signal.Signals) -> None:
        if signals:
            # A second signal skips the rest of the drain.
            stop_now.set()
        signals.append(number)
        node.start_drain(number.name)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal, number)
    loop.add_signal_handler(signal.SIGHUP, reload, node, sys.argv[1:], os.environ)


def reload(node: Node, arguments: Sequence[str], environment: Mapping[str, str]) -> None:
    """Reload the settings; if they have findings, log these and keep the old settings."""
    try:
        node.reload(parse(arguments, environment).settings)
    except ImproperlyConfigured as problem:
        get_logger().error("settings not reloaded", findings=str(problem))
