"""Connects the peer links with the node."""

from random import Random

from medlarbeam.classes.effects import SendPeer
from medlarbeam.classes.messages import PeerDown, PeerMessage, PeerUp
from medlarbeam.daemon.peer_link import LinkListener, LinkSettings
from medlarbeam.daemon.peer_links import PeerLinks
from medlarbeam.daemon.ports import PortService
from medlarbeam.daemon.setting_kinds import join_address

__all__ = ["PeerPort"]


class DriverListener(LinkListener):
    """Passes the events of the links to the node.

    Parameters
    ----------
    driver : NodeDriver
    """

    __slots__ = ("driver",)

    def __init__(self, driver):
        self.driver = driver

    def on_message(self, sender, body):
        """Take a message of the node `sender`."""
        self.driver.deliver(PeerMessage(sender, body))

    def on_up(self, node, incarnation):
        """Note that the link to `node` is set up."""
        self.driver.deliver(PeerUp(node, incarnation))

    def on_down(self, node):
        """Note that the link to `node` is closed."""
        self.driver.deliver(PeerDown(node))


class PeerPort(PortService):
    """Carries out `SendPeer`; without peers it has no links and listens nowhere.

    Parameters
    ----------
    driver : NodeDriver
    settings : DaemonSettings
    """

    def __init__(self, driver, settings):
        super().__init__(driver)
        self.links = None
        if settings.peer:
            node = settings.node
            link_settings = LinkSettings(
                node.name,
                node.incarnation,
                join_address(settings.peer_listen),
                {peer.name: join_address(peer.address) for peer in settings.peer},
            )
            # The jitter of reconnects must not draw from the node's random source, because the
            # order of its draws would then depend on the network.
            jitter = Random(f"{node.name}-{node.incarnation}-links")
            listener = DriverListener(driver)
            self.links = self.add_dependency(
                PeerLinks(link_settings, settings.peer_secret, jitter, listener)
            )

    def effects(self):
        """Return the handler of `SendPeer`."""
        return {SendPeer: self.send}

    def send(self, effect):
        """Hand a message to the link; dropped where there is none."""
        if self.links is not None:
            self.links.send(effect.node, effect.body)
