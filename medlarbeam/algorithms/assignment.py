"""Assignment of backend servers to the members of their cell."""

from xxhash import xxh3_64_intdigest

__all__ = ["assign_servers", "rank_nodes", "score_node"]


def score_node(key, node):
    """Return the rendezvous score of `node` for `key`; the highest wins."""
    return xxh3_64_intdigest(f"{key}\0{node}".encode())


def rank_nodes(key, nodes):
    """Return `nodes` with the best rendezvous score for `key` first."""
    return sorted(nodes, key=lambda node: (-score_node(key, node), node))


def assign_servers(servers, nodes):
    """Return an owner for each backend server, the same at every node that computes it.

    Parameters
    ----------
    servers : list of BackendServer
    nodes : list of str
        Members that may own backend servers.

    Returns
    -------
    dict of str to str
        Owner by backend server name, empty without nodes. Engines and each plain service are
        spread separately, so that every member gets its share of each kind.
    """
    owners = {}
    if not nodes:
        return owners
    for service in sorted({server.service for server in servers}):
        names = sorted(s.name for s in servers if s.service == service)
        owners.update(_spread_kind(service, names, nodes))
    return owners


def _spread_kind(service, names, nodes):
    """Give every server to its best node that is not full yet, best scores first."""
    limits = _share_limits(service, len(names), nodes)
    pairs = sorted((-score_node(name, node), name, node) for name in names for node in nodes)
    owners = {}
    for _, name, node in pairs:
        if name not in owners and limits[node] > 0:
            owners[name] = node
            limits[node] -= 1
    return owners


def _share_limits(service, count, nodes):
    """Divide `count` servers evenly; the remainder goes to the best ranked nodes."""
    share, rest = divmod(count, len(nodes))
    ranked = rank_nodes(f"share {service}", nodes)
    return {node: share + (1 if place < rest else 0) for place, node in enumerate(ranked)}
