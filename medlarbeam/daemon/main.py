"""Entry point of medlarbeamd."""

import asyncio
import logging
import os
import signal
import sys
import time
from random import Random

from medlarbeam.classes.messages import Shutdown
from medlarbeam.daemon.admin_server import AdminServer
from medlarbeam.daemon.backend_client import BackendClient
from medlarbeam.daemon.http_server import HttpServer
from medlarbeam.daemon.kv_client import KvClient
from medlarbeam.daemon.logs import EventLogger, configure_logging
from medlarbeam.daemon.metrics import Metrics
from medlarbeam.daemon.peer_effect_handler import PeerEffectHandler
from medlarbeam.daemon.settings import read_settings
from medlarbeam.daemon.shell import Shell
from medlarbeam.daemon.vm_list_client import VmListClient
from medlarbeam.exceptions import SettingsError
from medlarbeam.node.assembly import build_node
from medlarbeam.readwrite.release_notes import parse_note
from medlarbeam.readwrite.vm_list import parse_vm_list

__all__ = ["ShellDependencies", "build_shell", "main", "run_daemon"]

log = logging.getLogger(__name__)

EXIT_CRASHED = 1
EXIT_INVALID_SETTINGS = 2


class ShellDependencies:
    """Constructors and parsers of other packages that the shell depends on.

    Parameters
    ----------
    build_node : callable
        ``(NodeSettings, random.Random) -> Node``.
    build_peer_effect_handler : callable
        ``(NodeDriver, DaemonSettings) -> EffectHandler``.
    parse_note : callable
        ``(bytes, note id, operator) -> ReleaseNote``, raises FormatError.
    parse_vm_list : callable
        ``(bytes) -> list of VmEntry``, raises FormatError.
    """

    __slots__ = ("build_node", "build_peer_effect_handler", "parse_note", "parse_vm_list")

    def __init__(self, build_node, build_peer_effect_handler, parse_note, parse_vm_list):
        self.build_node = build_node
        self.build_peer_effect_handler = build_peer_effect_handler
        self.parse_note = parse_note
        self.parse_vm_list = parse_vm_list


def build_shell(settings, dependencies):
    """Return a `Shell` with its node and effect handlers that is not started yet."""
    node_settings = settings.node
    seed = settings.seed
    if seed is None:
        seed = f"{node_settings.name}-{node_settings.incarnation}"
    log.info("random seed: %s", seed, extra={"event": "seed"})
    shell = Shell(dependencies.build_node(node_settings, Random(seed)))
    metrics = Metrics()
    admin = AdminServer(shell, settings, dependencies.parse_note)
    routes = admin.routes() if settings.admin_listen is None else []
    shell.attach(EventLogger(metrics))
    shell.attach(KvClient(shell, settings))
    shell.attach(VmListClient(shell, settings, dependencies.parse_vm_list))
    shell.attach(BackendClient(shell, settings))
    shell.attach(dependencies.build_peer_effect_handler(shell, settings))
    shell.attach(admin)
    shell.attach(HttpServer(shell, settings, metrics, routes))
    return shell


async def run_daemon(settings, dependencies):
    """Serve until the node exits; return the exit status of the process."""
    shell = build_shell(settings, dependencies)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, lambda: shell.deliver(Shutdown()))
    try:
        await shell.start()
        await shell.wait(shell.exited.wait())
    finally:
        await shell.stop()
    if shell.crashed:
        log.error("node crashed: %r", shell.crash_reason, extra={"event": "crashed"})
        return EXIT_CRASHED
    return 0


def main():
    """Run medlarbeamd."""
    # The incarnation must increase with each start, and the VM has no persistent storage, so that
    # it is the wall clock in milliseconds.
    incarnation = int(time.time() * 1000)
    try:
        settings = read_settings(sys.argv[1:], os.environ, incarnation)
        configure_logging(settings, sys.stderr)
        status = asyncio.run(run_daemon(settings, default_dependencies()))
    except SettingsError as error:
        print(error, file=sys.stderr)
        status = EXIT_INVALID_SETTINGS
    sys.exit(status)


def default_dependencies():
    """Return the `ShellDependencies` of the running daemon."""
    return ShellDependencies(build_node, PeerEffectHandler, parse_note, parse_vm_list)
