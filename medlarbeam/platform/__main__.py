"""The daemon on the users' platform: ``python3 -m medlarbeam.platform``."""

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
from medlarbeam.platform.datagrams import DatagramPort
from medlarbeam.platform.front import Front, split_address
from medlarbeam.platform.logs import EventLines, set_up_lines
from medlarbeam.platform.metrics import GatewayMetrics, MetricsPort
from medlarbeam.platform.server_client import ServerClient
from medlarbeam.platform.settings import read_platform_settings
from medlarbeam.platform.store_client import StoreClient

__all__ = ["BootTimeLoop", "build_gateway_shell", "main"]

log = logging.getLogger(__name__)

SETTINGS_VARIABLE = "MEDLARBEAM_CONFIG"
DEFAULT_SETTINGS = "/etc/medlarbeam/node.toml"
# Objects that are made before the collector looks for cycles: a relay leaves few of them, and the
# default of 700 made it run for nearly each request.
COLLECT_AFTER = 20_000
STATUS_CRASHED = 1
STATUS_BAD_SETTINGS = 2


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock also counts while the VM is suspended."""

    __slots__ = ()

    def time(self):
        """Return the seconds since the VM was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def build_gateway_shell(settings, read_dropped=lambda: 0):
    """Return the `Shell` of a gateway with its ports, not started yet.

    Parameters
    ----------
    settings : PlatformSettings
    read_dropped : callable
        Returns the number of log lines that were lost.
    """
    handled = {
        getattr(gateway_effects, name)
        for name in gateway_effects.__all__
        if name != "ServerLoad"  # a part of messages, not an effect
    }
    rng = Random(f"{settings.gateway.name}-{settings.gateway.incarnation}")
    shell = Shell(Gateway(settings.gateway, rng), handled | {LogEvent, Exit})
    front = Front(shell, settings)
    metrics = GatewayMetrics()
    shell.attach(EventLines(metrics))
    shell.attach(MetricsPort(shell, split_address(settings.metrics), metrics, read_dropped))
    shell.attach(StoreClient(shell, settings))
    shell.attach(DatagramPort(shell, settings))
    shell.attach(ServerClient(shell, settings, front.exchanges))
    shell.attach(front)
    return shell


async def run_gateway(settings):
    """Serve until the gateway exits; return the status of the process."""
    loop = asyncio.get_running_loop()
    lines = set_up_lines(settings.gateway, loop)
    shell = build_gateway_shell(settings, lambda: lines.dropped)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: shell.deliver(Shutdown()))
    # A changed settings file names nothing that a running node could change.
    loop.add_signal_handler(signal.SIGHUP, lambda: log.info("reload", extra={"event": "reload"}))
    try:
        await shell.start()
        gc.freeze()  # what the start has built stays
        await shell.wait(shell.exited.wait())
    finally:
        await shell.stop()
    if shell.crashed:
        log.error("crashed: %r", shell.crash_reason, extra={"event": "crashed"})
        return STATUS_CRASHED
    lines.flush()
    return 0


def main():
    """Run the daemon."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    # The incarnation grows with each start, and the VM keeps nothing: the wall clock in ms.
    incarnation = int(time.time() * 1000)
    try:
        settings = read_platform_settings(path, incarnation)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(STATUS_BAD_SETTINGS)
    gc.set_threshold(COLLECT_AFTER)
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        sys.exit(runner.run(run_gateway(settings)))


if __name__ == "__main__":
    main()
