import pytest
from daemon_support import RecordingDriver, ScriptedServer, make_settings, reply, run

from medlarbeam.classes.cells import VmEntry
from medlarbeam.classes.effects import ReadVmList, SendPeer
from medlarbeam.classes.messages import PeerDown, PeerMessage, PeerUp, VmList
from medlarbeam.classes.peer_messages import Leaving
from medlarbeam.daemon.peer_effect_handler import NodeLinkListener, PeerEffectHandler
from medlarbeam.daemon.vm_list_client import VmListClient
from medlarbeam.exceptions import FormatError


def parse(data):
    if data != b"n1":
        raise FormatError("injected")
    return [VmEntry("n1", False)]


READS = [
    ("good-list-lost", [reply(200, b"n1")], [VmList(99.0, [VmEntry("n1", False)])]),
    ("error-page-reported-as-empty-list", [reply(503, b"n1")], []),
    ("malformed-list-reported-as-empty", [reply(200, b"x")], []),
    ("truncated-list-reported-as-complete", [reply(200, b"n1.", "Connection: close")[:-1]] * 2, []),
]


@pytest.mark.parametrize("replies, expected", [r[1:] for r in READS], ids=[r[0] for r in READS])
def test_only_a_complete_vm_list_is_delivered(replies, expected):
    """Guards against VMs that are treated as removed because the list could not be read."""

    async def check():
        async with ScriptedServer(replies) as server:
            driver = RecordingDriver()
            settings = make_settings(vm_list_address=f"127.0.0.1:{server.port}")
            client = VmListClient(driver, settings, parse)
            await client.start()
            await client.effects()[ReadVmList](ReadVmList(99.0))
            await client.stop()
            assert driver.messages == expected

    run(check())


def test_link_events_become_messages():
    """Guards against link events that do not reach the node, or do so in another order."""
    driver = RecordingDriver()
    listener = NodeLinkListener(driver)
    listener.on_link_up("n2", 5)
    listener.on_message("n2", Leaving("n2"))
    listener.on_link_down("n2")
    assert driver.messages == [PeerUp("n2", 5), PeerMessage("n2", Leaving("n2")), PeerDown("n2")]


def test_node_without_peers_needs_no_links_and_drops_messages():
    """Guards against a node with no configured peers that fails to start or to send."""

    async def check():
        handler = PeerEffectHandler(RecordingDriver(), make_settings())
        await handler.start()
        handler.effects()[SendPeer](SendPeer("n2", Leaving("n1")))
        await handler.stop()
        assert handler.links is None

    run(check())
