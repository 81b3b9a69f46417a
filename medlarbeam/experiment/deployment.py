"""Simulated deployments: placement of nodes and engines, and network latencies."""

from medlarbeam.classes.record import Record

__all__ = ["DEPLOYMENTS", "Deployment"]


class Deployment(Record):
    """Network latencies and placement of nodes and engines.

    Parameters
    ----------
    name : str
    between_domains_s, within_domain_s, to_callers_s, platform_s : float
        One-way latency (s) between failure domains, within one, and to callers; duration (s) of a
        platform call.
    """

    __slots__ = ("between_domains_s", "name", "platform_s", "to_callers_s", "within_domain_s")

    def __init__(
        self, name, between_domains_s, within_domain_s=0.0002, to_callers_s=0.001, platform_s=0.004
    ):
        self.name = name
        self.between_domains_s = between_domains_s
        self.within_domain_s = within_domain_s
        self.to_callers_s = to_callers_s
        self.platform_s = platform_s

    def find_latency(self, one, other):
        """Return the one-way latency (s) between two failure domains."""
        return self.within_domain_s if one == other else self.between_domains_s

    def place_nodes(self):
        """Return the failure domain by node name."""
        return {"n1": "fd1", "n2": "fd2", "n3": "fd3", "n4": "fd1"}

    def place_engines(self, count):
        """Return the failure domain by engine name."""
        return {f"e{i + 1}": f"fd{i % 3 + 1}" for i in range(count)}


DEPLOYMENTS = {
    "kebun-kira": Deployment("kebun-kira", 0.0015),
    "totara-flame": Deployment("totara-flame", 0.001),
}
