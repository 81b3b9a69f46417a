"""UDP messages between gateways."""

import asyncio
import logging

from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.exceptions import FormatError
from medlarbeam.platform.http_front_end import parse_address
from medlarbeam.readwrite.peer_frames import decode_datagram, encode_datagram

__all__ = ["DatagramEndpoint"]

log = logging.getLogger(__name__)


class DatagramEndpoint(EffectHandlerService, asyncio.DatagramProtocol):
    """Sends and receives datagrams between gateways.

    Parameters
    ----------
    driver : NodeDriver
    settings : PlatformSettings

    Attributes
    ----------
    encoded_body : Record or None
        The last message that was sent, and in `encoded` its bytes: a report goes to all nodes of a
        pool, one effect after the other.

    Notes
    -----
    Datagrams may be lost, so senders repeat a message while it is relevant. Datagrams avoid
    half-open connections, and a restarted node is reachable immediately.
    """

    def __init__(self, driver, settings):
        super().__init__(driver)
        self.address = parse_address(settings.datagram_address)
        self.transport = None
        self.encoded_body = None
        self.encoded = b""

    async def on_start(self):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    async def on_stop(self):
        """Close the socket."""
        self.transport.close()
        await super().on_stop()

    def effects(self):
        """Return the handler of `SendDatagram`."""
        return {SendDatagram: self.send}

    def send(self, effect):
        """Encode and send a datagram."""
        if effect.body is not self.encoded_body:
            self.encoded = encode_datagram(effect.body)
            self.encoded_body = effect.body
        self.transport.sendto(self.encoded, parse_address(effect.address))

    def connection_made(self, transport):
        """Do nothing; the transport is kept by `on_start`."""

    def datagram_received(self, data, address):
        """Decode a datagram and deliver it to the gateway."""
        try:
            body = decode_datagram(data)
        except FormatError as error:
            log.warning(
                "invalid datagram from %s: %s", address[0], error, extra={"event": "bad_datagram"}
            )
            return
        self.driver.deliver(NodeDatagram(body))

    def error_received(self, error):
        """Log that a datagram could not be delivered, for example because a node is down."""
        log.debug("datagram lost: %s", error, extra={"event": "datagram_lost"})

    def connection_lost(self, error):
        """Do nothing; `on_stop` closes the socket."""
