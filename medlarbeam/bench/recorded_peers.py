"""What the other gateways of a deployment, and its callers, send to one gateway."""

from collections import Counter

from medlarbeam.bench.gateway_fleet import GatewayFleet
from medlarbeam.classes.gateway_effects import PublishStreams
from medlarbeam.classes.gateway_messages import GatewayRequest

__all__ = ["RecordedPeers"]


class RecordedPeers(GatewayFleet):
    """Fleet without sockets that records what arrives at one of its gateways.

    Attributes
    ----------
    measured : str
        Name of that gateway: one that holds about as many order rights as the mean of all, since
        the holder of a right receives the datagrams of all nodes that use the backend server.
    right_count : int
        Number of order rights that it holds.
    arrivals : list of tuple
        ``(time, GatewayRequest)`` of its callers.
    datagrams : list of tuple
        ``(time, Record)`` of the messages that the other gateways send to it.
    reports : list of tuple
        ``(time, StreamReport)`` of the reports that the other gateways write to the store.
    """

    __slots__ = ("arrivals", "begin", "datagrams", "measured", "reports", "right_count")

    def __init__(self, seed, size):
        self.arrivals = []
        self.datagrams = []
        self.reports = []
        self.begin = 0.0
        self.measured = ""
        super().__init__(seed, size, self)
        self.begin = self.now
        counts = Counter(v.node for k, v in self.store.items() if k.startswith("right/"))
        mean = size.engines / size.gateways
        self.measured = min(self.gateways, key=lambda name: (abs(counts[name] - mean), name))
        self.right_count = counts[self.measured]

    def find_measured_domain(self):
        """Return the failure domain of the gateway whose arrivals are recorded."""
        return self._find_domain(self.measured)

    def measure(self, label, step):
        """Return the result of ``step()``; nothing is measured."""
        return step()

    def _handlers(self):
        return {**super()._handlers(), PublishStreams: self._publish_streams}

    def _publish_streams(self, name, effect):
        if name != self.measured:
            self.reports.append((self.now - self.begin, effect.report))

    def _send_datagram(self, name, effect):
        if effect.address.partition(":")[0] == self.measured:
            self.datagrams.append((self.now - self.begin, effect.body))
        super()._send_datagram(name, effect)

    def deliver(self, name, message):
        """Pass a message to a gateway, and record the requests of the measured one."""
        if name == self.measured and isinstance(message, GatewayRequest):
            self.arrivals.append((self.now - self.begin, message))
        super().deliver(name, message)
