"""Datagrams to several nodes carry the message that was to be sent, which is encoded once."""

import pytest

from medlarbeam.classes.fleet import AdapterKey
from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.peer_messages import UseReport
from medlarbeam.gateway.tests.fleet_samples import make_settings
from medlarbeam.platform import datagrams
from medlarbeam.platform.datagrams import DatagramEndpoint
from medlarbeam.platform.settings import PlatformSettings
from medlarbeam.readwrite.peer_frames import decode_datagram, encode_datagram

KEYS = [AdapterKey("m0", f"a{i}") for i in range(3)]
FIRST = UseReport("n1", "w1", 1, KEYS[:2], 2, 100)
SECOND = UseReport("n1", "w2", 2, KEYS[2:], 1, 0)


class SentDatagrams:
    """Transport that records the datagrams and their addresses."""

    __slots__ = ("sent",)

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append([decode_datagram(data), address])


BATCHES = [
    ("report-to-a-pool-encoded-for-each-node", [FIRST] * 5, 1),
    ("second-message-sent-as-the-first", [FIRST, SECOND, SECOND], 2),
    ("message-sent-again-as-another", [FIRST, SECOND, FIRST], 3),
]


@pytest.mark.parametrize(
    ("bodies", "encodings"), [b[1:] for b in BATCHES], ids=[b[0] for b in BATCHES]
)
def test_each_node_gets_the_message(monkeypatch, bodies, encodings):
    encoded = []

    def encode(body):
        encoded.append(body)
        return encode_datagram(body)

    monkeypatch.setattr(datagrams, "encode_datagram", encode)
    settings = PlatformSettings(make_settings(), *["127.0.0.1:1"] * 5, 0.5)
    endpoint = DatagramEndpoint(None, settings)
    endpoint.transport = SentDatagrams()
    for number, body in enumerate(bodies):
        endpoint.send(SendDatagram(f"10.0.0.{number}:7000", body))
    expected = [[body, (f"10.0.0.{i}", 7000)] for i, body in enumerate(bodies)]
    assert endpoint.transport.sent == expected
    assert len(encoded) == encodings
