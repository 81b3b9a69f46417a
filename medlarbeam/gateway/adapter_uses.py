"""Use counts of the adapters in the runs of this node, and reports of them to the holders."""

from math import inf

from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.peer_messages import UseReport
from medlarbeam.node.component import Component

__all__ = ["AdapterUses"]

REPORT_DELAY_S = 0.03  # changes of use within this time are reported together
# Reports are repeated in case datagrams were lost. An interval of 0.25 s caused 217 use reports per
# second at one of 28 nodes. `USE_TTL_S` of the order scheduler is more than twice as long.
REPORT_INTERVAL_S = 0.6


class AdapterUses(Component):
    """Counts adapter uses and reports them to the holders of the rights to order the servers.

    Attributes
    ----------
    in_use : dict
        Number of runs by backend server and `AdapterKey`.
    unreported : set of str
        Backend servers whose uses are due for a report.
    """

    __slots__ = ("in_use", "report_at", "serial", "unreported")

    def __init__(self, node):
        super().__init__(node)
        self.in_use = {}
        self.unreported = set()
        self.serial = 0
        self.report_at = inf

    def find_keys(self, server):
        """Return a container of each `AdapterKey` that runs of this node use on `server`."""
        return self.in_use.get(server, ())

    def begin(self, server, key, now):
        """Count the start of a run with `key` on `server`."""
        if key is None or not key.adapter:
            return
        uses = self.in_use.setdefault(server, {})
        uses[key] = uses.get(key, 0) + 1
        self.node.orders.record_use(server, key, now)
        self._report_soon(server, now)

    def end(self, server, key, now, out):
        """Count the end of a run with `key` on `server`."""
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
        """Return the time (s) of the next report."""
        return self.report_at

    def tick(self, now, out):
        """Send the use reports that are due; servers in use are reported again later."""
        name = self.node.settings.name
        servers, self.unreported = self.unreported, set()
        for server in servers:
            uses = self.in_use.get(server, {})
            holder = self.node.rights.find_holder(server)
            if holder and holder != name:
                self.serial += 1
                report = UseReport(
                    name,
                    server,
                    self.serial,
                    list(uses),
                    sum(uses.values()),
                    self.node.prompts.count_own(server, now),
                )
                out.emit(SendDatagram(self.node.fleet.nodes[holder].address, report))
            if uses:
                self.unreported.add(server)
        self.report_at = now + REPORT_INTERVAL_S if self.unreported else inf
