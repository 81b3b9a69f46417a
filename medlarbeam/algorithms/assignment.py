"""Assignment of backend servers to the members of their cell by rendezvous hashing."""

from xxhash import xxh3_64_intdigest

__all__ = ["assign_servers", "rank_nodes", "score_node"]


def score_node(key, node):
    """Return the rendezvous hash score of `node` for `key`; the highest score is preferred."""
    return xxh3_64_intdigest(f"{key}\0{node}".encode())


def rank_nodes(key, nodes):
    """Return `nodes` by descending rendezvous hash score for `key`."""
    return sorted(nodes, key=lambda node: (-score_node(key, node), node))


def assign_servers(servers, nodes):
    """Return the owner of each backend server.

    The result is deterministic: every node computes the same owners from the same arguments.

    Parameters
    ----------
    servers : list of BackendServer
    nodes : list of str
        Members of the cell that may own backend servers.

    Returns
    -------
    dict of str to str
        Owner by backend server name; empty if `nodes` is empty. Engines and the servers of each
        plain service are distributed separately, so that every member gets its share of each.
    """
    owners = {}
    if not nodes:
        return owners
    for service in sorted({server.service for server in servers}):
        names = sorted(s.name for s in servers if s.service == service)
        owners.update(_assign_service(service, names, nodes))
    return owners


def _assign_service(service, names, nodes):
    """Assign servers to nodes by descending score, within the limit of each node."""
    limits = _compute_limits(service, len(names), nodes)
    candidates = sorted((-score_node(name, node), name, node) for name in names for node in nodes)
    owners = {}
    for _, name, node in candidates:
        if name not in owners and limits[node] > 0:
            owners[name] = node
            limits[node] -= 1
    return owners


def _compute_limits(service, count, nodes):
    """Divide `count` servers evenly; the nodes ranked first get one more for the remainder."""
    quota, remainder = divmod(count, len(nodes))
    ranked = rank_nodes(f"share {service}", nodes)
    return {
        node: quota + (1 if position < remainder else 0) for position, node in enumerate(ranked)
    }
