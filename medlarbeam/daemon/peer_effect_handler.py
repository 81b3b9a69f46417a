"""Effect handler that connects the peer links to the node."""

from random import Random

from medlarbeam.classes.effects import SendPeer
from medlarbeam.classes.messages import PeerDown, PeerMessage, PeerUp, SendFailed
from medlarbeam.classes.peer_messages import Forward
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.daemon.peer_link import LinkListener, LinkSettings
from medlarbeam.daemon.peer_links import PeerLinks
from medlarbeam.daemon.setting_types import format_address

__all__ = ["PeerEffectHandler"]


class NodeLinkListener(LinkListener):
    """Delivers the events of the peer links to the node.

    Parameters
    ----------
    driver : NodeDriver
    """

    __slots__ = ("driver",)

    def __init__(self, driver):
        self.driver = driver

    def on_message(self, sender, message):
        """Deliver a message from the node `sender`."""
        self.driver.deliver(PeerMessage(sender, message))

    def on_link_up(self, node, incarnation):
        """Deliver the set-up of the link to `node`."""
        self.driver.deliver(PeerUp(node, incarnation))

    def on_link_down(self, node):
        """Deliver the loss of the link to `node`."""
        self.driver.deliver(PeerDown(node))


class PeerEffectHandler(EffectHandlerService):
    """Carries out `SendPeer`; without peers it has no links and no listening socket.

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
                format_address(settings.peer_listen),
                {peer.name: format_address(peer.address) for peer in settings.peer},
            )
            # The backoff jitter has a random source of its own: if it drew from that of the node,
            # the sequence of the node's draws would depend on the network.
            jitter = Random(f"{node.name}-{node.incarnation}-links")
            listener = NodeLinkListener(driver)
            self.links = self.add_dependency(
                PeerLinks(link_settings, settings.peer_secret, jitter, listener)
            )

    def effects(self):
        """Return the handler of `SendPeer`."""
        return {SendPeer: self.send}

    def send(self, effect):
        """Send a message to a peer; report a `Forward` that could not be sent to the node."""
        sent = self.links is not None and self.links.send(effect.node, effect.body)
        if not sent and isinstance(effect.body, Forward):
            self.driver.deliver(SendFailed(effect.node, effect.body))
