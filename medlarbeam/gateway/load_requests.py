"""Requests for loads of adapters, sent to the nodes that may order them."""

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.peer_messages import AdapterDemand
from medlarbeam.gateway.replica_policy import ReplicaPolicy

__all__ = ["LoadRequests"]

REPLICA_PRIORITY = 99  # lower than that of any waiting request


class LoadRequests:
    """Requests loads for waiting requests, and local replicas of popular adapters.

    Parameters
    ----------
    node : Gateway
    selector : ServerSelector
    """

    __slots__ = ("node", "replicas", "selector")

    def __init__(self, node, selector):
        self.node = node
        self.selector = selector
        self.replicas = ReplicaPolicy(node)

    def request_load(self, server, key, priority, due, now, out):
        """Request a load of `key` on `server`; return the name of the right's holder, or ""."""
        holder = self.node.rights.find_holder(server)
        if holder == self.node.settings.name:
            self.node.orders.handle_demand(server, key, priority, due, holder, now, out)
        elif holder:
            address = self.node.fleet.nodes[holder].address
            name = self.node.settings.name
            self.node.reachability.record_demand(holder, now, out)
            demand = AdapterDemand(name, server, key, priority, due - now)
            out.emit(SendDatagram(address, demand))
        return holder

    def request_replica(self, relay, entry, now, out):
        """Request a local replica of an adapter that other failure domains often serve."""
        key = relay.request.key
        if key is None or not key.adapter:
            return
        if entry.failure_domain == self.node.settings.failure_domain:
            return
        if not self.replicas.count_remote(key, now):
            return
        preferred = self.selector.find_preferred_servers(relay.service, key, now)
        server = self.replicas.find_server(preferred, key, now)
        if server:
            out.emit(LogEvent("copy_wanted", f"adapter={key} server={server}"))
            self.request_load(server, key, REPLICA_PRIORITY, now, now, out)
