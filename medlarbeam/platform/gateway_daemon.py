"""The gateway process: settings, event loop, signals, and the `Shell` with its effect handlers."""

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from random import Random

from medlarbeam.classes import gateway_effects
from medlarbeam.classes.effects import Exit, LogEvent
from medlarbeam.classes.messages import Shutdown
from medlarbeam.daemon.shell import Shell
from medlarbeam.exceptions import SettingsError
from medlarbeam.gateway.gateway import Gateway
from medlarbeam.platform.config_client import ConfigClient
from medlarbeam.platform.datagrams import DatagramEndpoint
from medlarbeam.platform.http_front_end import HttpFrontEnd, parse_address
from medlarbeam.platform.logs import EventLogger, configure_logging
from medlarbeam.platform.metrics import GatewayMetrics, MetricsServer
from medlarbeam.platform.server_client import ServerClient
from medlarbeam.platform.settings import read_platform_settings
from medlarbeam.platform.store_client import StoreClient

__all__ = ["BootTimeLoop", "build_gateway_shell", "main"]

log = logging.getLogger(__name__)

SETTINGS_VARIABLE = "MEDLARBEAM_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/medlarbeam/node.toml"
# Allocations before a garbage collection. A relayed request leaves few reference cycles, and with
# the default of 700 a collection ran for almost every request.
GC_THRESHOLD = 20_000
EXIT_CRASHED = 1
EXIT_BAD_SETTINGS = 2


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock includes time during which the VM is suspended."""

    __slots__ = ()

    def time(self):
        """Return the time since boot (s)."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def build_gateway_shell(settings, count_dropped_lines=lambda: 0):
    """Return the `Shell` of a gateway with all its effect handlers, not started.

    Parameters
    ----------
    settings : PlatformSettings
    count_dropped_lines : callable
        Returns the number of dropped log lines.
    """
    effect_classes = {
        getattr(gateway_effects, name)
        for name in gateway_effects.__all__
        if name != "ServerLoad"  # a field of messages, not an effect
    }
    rng = Random(f"{settings.gateway.name}-{settings.gateway.incarnation}")
    shell = Shell(Gateway(settings.gateway, rng), effect_classes | {LogEvent, Exit})
    front = HttpFrontEnd(shell, settings)
    metrics = GatewayMetrics()
    shell.attach(EventLogger(metrics))
    metrics_address = parse_address(settings.metrics_address)
    shell.attach(MetricsServer(shell, metrics_address, metrics, count_dropped_lines, front.account))
    shell.attach(StoreClient(shell, settings))
    shell.attach(DatagramEndpoint(shell, settings))
    shell.attach(ConfigClient(shell))
    shell.attach(ServerClient(shell, settings, front.exchanges))
    shell.attach(front)
    return shell


async def run_gateway(settings):
    """Run the gateway until it exits; return the exit status of the process."""
    loop = asyncio.get_running_loop()
    log_handler = configure_logging(settings.gateway, loop)
    shell = build_gateway_shell(settings, lambda: log_handler.dropped)
    for text in settings.unserved:
        log.warning("%s", text, extra={"event": "contract_unserved"})
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, lambda: shell.deliver(Shutdown()))
    # SIGHUP is only logged: no setting in the file can be changed while the node is running.
    loop.add_signal_handler(signal.SIGHUP, lambda: log.info("reload", extra={"event": "reload"}))
    try:
        await shell.start()
        gc.freeze()  # objects created at start-up live as long as the process
        await shell.wait(shell.exited.wait())
    finally:
        await shell.stop()
    if shell.crashed:
        log.error("crashed: %r", shell.crash_reason, extra={"event": "crashed"})
        return EXIT_CRASHED
    log_handler.flush()
    return 0


def main():
    """Run the gateway daemon."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    # The incarnation must increase with each start. The VM has no persistent storage, so the wall
    # clock (ms) is used.
    incarnation = int(time.time() * 1000)
    try:
        settings = read_platform_settings(path, incarnation)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    gc.set_threshold(GC_THRESHOLD)
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        sys.exit(runner.run(run_gateway(settings)))
