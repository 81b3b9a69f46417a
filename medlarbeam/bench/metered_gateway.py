"""A gateway process that divides its processor time among causes, for `process_cost`.

SIGUSR1 begins the account, SIGUSR2 ends it and writes it to the file that is the argument.
"""

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from asyncio import events
from pathlib import Path

from orjson import dumps

from medlarbeam.bench.cost_account import CostAccount
from medlarbeam.charts.interpreter import Chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import (
    PublishStreams,
    RecordRequestMetrics,
    RenewLease,
    SendDatagram,
    SyncStore,
)
from medlarbeam.gateway.gateway import Gateway
from medlarbeam.platform import datagrams, gateway_daemon, store_client
from medlarbeam.platform.settings import read_platform_settings

__all__ = ["main"]

STORE_EFFECTS = (PublishStreams, RenewLease, SyncStore)
# Causes of callbacks by the beginning of the qualified name of the coroutine or function.
CALLBACK_CAUSES = {
    "StoreClient.": "store: calls",
    "RenewableSession.": "store: calls",
    "ServerClient._run": "relay: runs and events of streams",
    "ServerClient._send_order": "reports and probes: orders",
    "ServerClient.": "reports and probes: calls",
    "RequestHandler.": "requests: handler",
    "ClientRequest.": "relay: sending of requests",
    "ClientResponse.": "relay: sending of requests",
    "BoundedResponseHandler.": "relay: connecting",
    "BaseSelectorEventLoop._sock_connect": "relay: connecting",
    "CallerConnection.": "requests: connections",
    "CallerListener.": "requests: connections",
    "ReadTurns.": "requests: connections",
    "StallTimer.": "relay: timers",
    "Shell.run_tick": "timers: ticks",
    "NonBlockingLogHandler.": "log lines: writes",
    "BaseSelectorEventLoop._accept": "requests: connections",
}


class GatewayMeter:
    """Charges the callbacks of the event loop and what the gateway calls in them to causes.

    Parameters
    ----------
    path : pathlib.Path
        File that the account is written to.
    store_port : int
        Port of the store, which tells its connections from those to backend servers.
    """

    __slots__ = ("account", "begin_s", "names", "path", "start_s", "store_port")

    def __init__(self, path, store_port):
        self.account = CostAccount()
        self.path = path
        self.store_port = store_port
        self.names = {}
        self.start_s = time.process_time()
        self.begin_s = 0.0

    def meter_callbacks(self):
        """Charge each callback of the event loop to its cause."""
        account, run = self.account, events.Handle._run

        def run_metered(handle):
            account.enter(self.find_cause(handle._callback))
            try:
                run(handle)
            finally:
                account.leave()

        events.Handle._run = run_metered

    def find_cause(self, callback):
        """Return the cause of a callback of the event loop."""
        owner = getattr(callback, "__self__", None)
        if isinstance(owner, asyncio.Task):
            return self.find_named(owner.get_coro().__qualname__)
        get_extra_info = getattr(owner, "get_extra_info", None)
        if get_extra_info is not None:
            return self.find_transport(owner)
        callback = getattr(callback, "func", callback)  # of a `functools.partial`
        return self.find_named(getattr(callback, "__qualname__", type(callback).__name__))

    def find_transport(self, transport):
        """Return the cause of what a transport receives or sends."""
        if "Datagram" in type(transport).__name__:
            return "datagrams: sockets"
        peer = transport.get_extra_info("peername")
        if peer is not None and peer[1] == self.store_port:
            return "store: sockets and HTTP parser"
        protocol = type(transport.get_protocol()).__name__
        if protocol == "ResponseHandler" or "Response" in protocol:
            return "relay: sockets and HTTP parser"
        return "requests: sockets and HTTP parser"

    def find_named(self, name):
        """Return the cause of a coroutine or function by its qualified name."""
        cause = self.names.get(name)
        if cause is None:
            found = [c for prefix, c in CALLBACK_CAUSES.items() if name.startswith(prefix)]
            cause = self.names[name] = found[0] if found else f"other callbacks: {name}"
        return cause

    def meter_functions(self):
        """Charge the functions that several callbacks share to causes of their own."""
        wrap = self.account.wrap
        Chart.fire = wrap("charts: events", Chart.fire)
        logging.Logger._log = wrap("log lines: formatting", logging.Logger._log)
        datagrams.decode_datagram = wrap("datagrams: decoding", datagrams.decode_datagram)
        datagrams.encode_datagram = wrap("datagrams: encoding", datagrams.encode_datagram)
        store_client.decode_object = wrap("store: JSON of responses", store_client.decode_object)
        store_client.decode_entry = wrap("store: decoding of entries", store_client.decode_entry)

    def meter_decisions(self):
        """Charge the steps of the gateway by the class of the message."""
        account, handle = self.account, Gateway.handle

        def handle_metered(gateway, message, now):
            account.enter(f"decisions: {type(getattr(message, 'body', message)).__name__}")
            try:
                return handle(gateway, message, now)
            finally:
                account.leave()

        Gateway.handle = handle_metered
        Gateway.tick = account.wrap("timers: ticks", Gateway.tick)
        Gateway.next_deadline = account.wrap("timers: next deadline", Gateway.next_deadline)

    def meter_shell(self, shell):
        """Charge the handlers of effects by the class of the effect."""
        for effect_type, handler in shell.handlers.items():
            cause = name_effect(effect_type)
            shell.handlers[effect_type] = self.account.wrap(cause, handler)

    def begin(self):
        """Begin the account."""
        self.begin_s = time.process_time()
        self.account.begin()

    def end(self):
        """End the account and write it."""
        self.account.end()
        document = {
            "start_s": self.start_s,
            "total_s": time.process_time() - self.begin_s,
            "pair_ns": self.account.inner_ns + self.account.outer_ns,
            "causes": self.account.list_costs(),
        }
        part = self.path.with_suffix(".part")
        part.write_bytes(dumps(document))
        part.rename(self.path)


def name_effect(effect_type):
    """Return the cause of the handler of an effect."""
    if effect_type is SendDatagram:
        return "datagrams: sockets"
    if effect_type is LogEvent:
        return "log lines: events"
    if effect_type is RecordRequestMetrics:
        return "metrics: requests"
    if effect_type in STORE_EFFECTS:
        return "store: calls"
    return "effects: start of tasks"


async def run_metered(settings, meter):
    """Run the gateway until it exits; return the exit status of the process."""
    loop = asyncio.get_running_loop()
    loop._selector.select = meter.account.wrap("event loop: select", loop._selector.select)
    loop.add_signal_handler(signal.SIGUSR1, meter.begin)
    loop.add_signal_handler(signal.SIGUSR2, meter.end)
    return await gateway_daemon.run_gateway(settings)


def main():
    """Run a gateway with its processor time divided among causes."""
    meter_path = Path(sys.argv[1])
    settings = read_platform_settings(
        os.environ[gateway_daemon.SETTINGS_VARIABLE], int(time.time() * 1000)
    )
    meter = GatewayMeter(meter_path, int(settings.store_address.rpartition(":")[2]))
    meter.meter_functions()
    meter.meter_decisions()
    meter.meter_callbacks()
    build = gateway_daemon.build_gateway_shell

    def build_metered(*args):
        shell = build(*args)
        meter.meter_shell(shell)
        return shell

    gateway_daemon.build_gateway_shell = build_metered
    gc.set_threshold(gateway_daemon.GC_THRESHOLD)
    with asyncio.Runner(loop_factory=gateway_daemon.BootTimeLoop) as runner:
        sys.exit(runner.run(run_metered(settings, meter)))


if __name__ == "__main__":
    main()
