"""Which adapters the requests of this node use at present, and who has to know."""

from math import inf

from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.peer_messages import UseReport
from medlarbeam.node.component import Component

__all__ = ["AdapterUses"]

REPORT_DELAY_S = 0.03  # uses that begin or end within this time are reported together
# A report is sent again this often, against lost datagrams: with 0.25 s one of 28 nodes got 217
# reports of use a second. `USE_TTL_S` of the order desk is more than twice as long.
REPORT_INTERVAL_S = 0.6


class AdapterUses(Component):
    """Counts uses, and reports them to the nodes that order the backend servers.

    Attributes
    ----------
    in_use : dict
        Number of requests by backend server and `AdapterKey`.
    unreported : set of str
        Backend servers whose uses are reported next.
    """

    __slots__ = ("in_use", "report_at", "serial", "unreported")

    def __init__(self, node):
        super().__init__(node)
        self.in_use = {}
        self.unreported = set()
        self.serial = 0
        self.report_at = inf

    def is_in_use(self, server, key):
        """Return whether a request of this node runs with `key` on `server`."""
        return key in self.in_use.get(server, ())

    def begin(self, server, key, now):
        """Count a request that is sent to `server` with `key`."""
        if key is None or not key.adapter:
            return
        uses = self.in_use.setdefault(server, {})
        uses[key] = uses.get(key, 0) + 1
        self.node.orders.record_use(server, key, now)
        if uses[key] == 1:
            self._report_soon(server, now)

    def end(self, server, key, now, out):
        """Count the end of a request that was sent to `server` with `key`."""
        uses = self.in_use.get(server, {})
        if key not in uses:
            return
        uses[key] -= 1
        if not uses[key]:
            del uses[key]
            self.node.orders.record_use_end(server, now, out)
            self._report_soon(server, now)

    def _report_soon(self, server, now):
        self.unreported.add(server)
        self.report_at = min(self.report_at, now + REPORT_DELAY_S)

    def next_deadline(self):
        """Return the time of the next report."""
        return self.report_at

    def tick(self, now, out):
        """Report the uses that have changed, and those that go on."""
        name = self.node.settings.name
        servers, self.unreported = self.unreported, set()
        for server in servers:
            uses = self.in_use.get(server, {})
            holder = self.node.rights.find_holder(server)
            if holder and holder != name:
                self.serial += 1
                report = UseReport(name, server, self.serial, list(uses), sum(uses.values()))
                out.emit(SendDatagram(self.node.book.nodes[holder].address, report))
            if uses:
                self.unreported.add(server)
        self.report_at = now + REPORT_INTERVAL_S if self.unreported else inf
