"""Links of each gateway of the soak to the workers and to the other gateways."""

import asyncio
import socket
from base64 import b64decode, b64encode

from aiohttp.web import middleware
from orjson import JSONDecodeError, dumps, loads

from medlarbeam.charts.loader import load_chart
from medlarbeam.platform.documents import NODE_PREFIX, SERVER_PREFIX
from medlarbeam.soak.proxy import FaultProxy
from medlarbeam.standins.free_ports import find_free_addresses

__all__ = ["GatewayLink", "PeerLink", "WorkerLinks", "build_store_front", "replace_addresses"]

FILLING_CONNECTIONS = 3  # with a backlog of 0 the kernel queues one or two connections


class GatewayLink(FaultProxy):
    """Link of one gateway, which can be cut off whatever the state of its target is.

    Attributes
    ----------
    is_silent : bool
        Whether the gateway is cut off without resets.
    is_refused : bool
        Whether the gateway is cut off with resets and refusals.
    state : str
        State of the target in the chart ``soak_link``.
    hanging : list of socket.socket
        Listener whose queue is full, and the connections that fill it.
    """

    __slots__ = ("hanging", "is_listening", "is_refused", "is_silent", "state")

    def __init__(self, target):
        super().__init__(target)
        self.is_silent = False
        self.is_refused = False
        self.is_listening = False
        self.hanging = []
        self.state = LINK_CHART.initial

    @property
    def listens(self):
        """Whether the target accepts connections, or a proxy does in its place."""
        return LINK_CHART.has_tag(self, "listens")

    def is_blocked(self, direction):
        """Return whether a direction holds bytes back; see `FaultProxy.is_blocked`."""
        return self.is_silent or super().is_blocked(direction)

    async def start(self):
        """Accept connections, unless the gateway is cut off."""
        self.fail("started")
        await self._listen()

    def stop(self):
        """Refuse connections and reset the open ones until the target is back."""
        self.fail("reset")

    def fail(self, event):
        """Let the target fail in the way that an event of the chart ``soak_link`` names."""
        LINK_CHART.fire(self, event, self)

    def close_listener(self, link):
        """Refuse new connections; action of the chart, as the following ones."""
        if self.is_listening and self.server is not None:
            self.server.close()
            self.is_listening = False

    def reset_connections(self, link):
        """Reset the open connections."""
        self.reset()

    def close_connections(self, link):
        """Close the open connections in order."""
        self.close_in_order()

    def silence_connections(self, link):
        """Let the open connections drop all bytes."""
        self.silence()

    def hang_connections(self, link):
        """Let new connections get no answer: they find a full queue, which drops their SYN."""
        if self.is_refused or self.hanging:
            return
        host, _, port = self.address.rpartition(":")
        listener = socket.socket()
        self.hanging.append(listener)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            connection = socket.socket()
            self.hanging.append(connection)
            connection.setblocking(False)
            connection.connect_ex((host, int(port)))

    def end_hang(self, link):
        """Free the address for a listener that accepts connections."""
        for one in self.hanging:
            one.close()
        self.hanging.clear()

    def drop_bytes(self, writer, direction):
        """Drop bytes; a target that is back resets a connection that it does not know.

        Raises
        ------
        ConnectionResetError
            If the target is back, and the bytes are from the client.
        """
        super().drop_bytes(writer, direction)
        if direction == 0 and not LINK_CHART.has_tag(self, "drops_bytes"):
            raise ConnectionResetError("the target does not know the connection")

    def admit(self, writer, upstream_writer):
        """Return whether a new connection may forward bytes; see `FaultProxy.admit`."""
        if LINK_CHART.has_tag(self, "drops_bytes"):
            self.silent |= {writer, upstream_writer}
            return True
        return self.listens and not LINK_CHART.has_tag(self, "turns_away")

    def cut(self, kind):
        """Cut the gateway off: ``silent``, or ``refused`` with resets and refusals."""
        self.is_silent = kind == "silent"
        self.is_refused = kind == "refused"
        if self.is_refused:
            self._close()
            self.end_hang(self)

    async def restore(self):
        """End the cut."""
        self.is_silent = self.is_refused = False
        if LINK_CHART.has_tag(self, "drops_bytes"):
            self.hang_connections(self)
        await self._listen()

    async def _listen(self):
        if self.is_listening or self.is_refused or not self.listens:
            return
        self.is_listening = True
        if not self.address:
            # An outgoing connection takes no port of that range while the link is closed.
            (self.address,) = find_free_addresses(1)
        await super().start()
        if self.is_refused or not self.listens:  # changed while the listener was opened
            self._close()

    def _close(self):
        self.close_listener(self)
        self.reset()


LINK_CHART = load_chart("soak_link", GatewayLink)


class DatagramRelay(asyncio.DatagramProtocol):
    """Passes the datagrams to a gateway on, unless their link is cut."""

    __slots__ = ("link", "transport")

    def __init__(self, link):
        self.link = link
        self.transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data, address):
        """Pass a datagram on."""
        if not self.link.is_silent and not self.link.is_refused:
            host, _, port = self.link.target.rpartition(":")
            self.transport.sendto(data, (host, int(port)))


class PeerLink(GatewayLink):
    """Link of one gateway to another: requests passed on, and datagrams on the same port."""

    __slots__ = ("datagrams",)

    def __init__(self, target):
        super().__init__(target)
        self.datagrams = None

    async def start(self):
        """Accept connections and datagrams."""
        await super().start()
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.datagrams, _ = await loop.create_datagram_endpoint(
            lambda: DatagramRelay(self), local_addr=(host, int(port))
        )

    def stop(self):
        """Close the listener and the socket of the datagrams."""
        super().stop()
        if self.datagrams is not None:
            self.datagrams.close()


class WorkerLinks:
    """Links of all gateways to one worker, on which faults of the worker act alike.

    Parameters
    ----------
    target : str
        ``ip:port`` of the worker.
    gateways : list of str

    Attributes
    ----------
    address : str
        ``ip:port`` in the entry of the worker, for which each gateway reads that of its link.
    links : dict of str to GatewayLink
        By gateway.
    """

    __slots__ = ("address", "links", "target")

    def __init__(self, target, gateways):
        self.target = target
        self.address = target
        self.links = {name: GatewayLink(target) for name in gateways}

    @property
    def mode(self):
        """Mode of the links; see `FaultProxy`."""
        return next((link.mode for link in self.links.values()), "good")

    @mode.setter
    def mode(self, mode):
        for link in self.links.values():
            link.mode = mode

    async def start(self):
        """Accept connections of all gateways that are not cut off."""
        for link in self.links.values():
            await link.start()

    def stop(self):
        """Refuse connections of all gateways and reset the open ones."""
        for link in self.links.values():
            link.stop()

    def reset(self):
        """Reset the connections of all gateways."""
        for link in self.links.values():
            link.reset()


def replace_addresses(document, workers, peers):
    """Replace the addresses in a response of the store by those of the links of a gateway.

    Parameters
    ----------
    document : dict
        Response to ``/kv-range`` or ``/kv-watch``; it is not changed.
    workers, peers : dict of str to GatewayLink
        By the names of the workers, and of the other gateways.

    Returns
    -------
    dict
    """
    replaced = dict(document)
    for field in ("items", "events"):
        if isinstance(document.get(field), list):
            replaced[field] = [_replace_address(i, workers, peers) for i in document[field]]
    return replaced


def _replace_address(item, workers, peers):
    link = _find_link(str(item["key"]), workers, peers)
    if link is None or "value" not in item:
        return item
    try:
        value = loads(b64decode(item["value"]))
    except JSONDecodeError:
        return item
    if not isinstance(value, dict):
        return item
    return item | {"value": b64encode(dumps(value | {"address": link.address})).decode()}


def _find_link(key, workers, peers):
    for prefix, links in ((SERVER_PREFIX, workers), (NODE_PREFIX, peers)):
        if key.startswith(prefix):
            return links.get(key.removeprefix(prefix))
    return None


def build_store_front(store, list_workers, peers):
    """Return the application of a store for one gateway, which reads the addresses of its links.

    Parameters
    ----------
    store : PlatformStore
    list_workers : callable
        Returns the links of the gateway to the workers, by their names.
    peers : dict of str to GatewayLink
        Links to the other gateways.
    """

    @middleware
    async def replace(request, handler):
        response = await handler(request)
        if request.path in ("/kv-range", "/kv-watch") and response.status == 200:
            document = loads(response.body)
            response.body = dumps(replace_addresses(document, list_workers(), peers))
        return response

    app = store.build_app()
    app.middlewares.append(replace)
    return app
