"""The gateway: an entry node in front of backend servers that other nodes use as well."""

from medlarbeam.gateway.adapter_uses import AdapterUses
from medlarbeam.gateway.admission import Admission
from medlarbeam.gateway.config_versions import ConfigVersions
from medlarbeam.gateway.crash_inquiries import CrashInquiries
from medlarbeam.gateway.crash_reports import CrashReports
from medlarbeam.gateway.crash_suspects import CrashSuspects
from medlarbeam.gateway.fleet_state import FleetState
from medlarbeam.gateway.forwarding import Forwarding
from medlarbeam.gateway.gateway_lifecycle import GatewayLifecycle
from medlarbeam.gateway.holdings import Holdings
from medlarbeam.gateway.leaving_servers import LeavingServers
from medlarbeam.gateway.node_reachability import NodeReachability
from medlarbeam.gateway.order_rights import OrderRights
from medlarbeam.gateway.orders import Orders
from medlarbeam.gateway.organisation_quotas import OrganisationQuotas
from medlarbeam.gateway.prompt_pacing import PromptPacing
from medlarbeam.gateway.refusal_limits import RefusalLimits
from medlarbeam.gateway.relays import Relays
from medlarbeam.gateway.server_health import ServerHealth
from medlarbeam.gateway.server_limits import ServerLimits
from medlarbeam.gateway.server_paths import ServerPaths
from medlarbeam.gateway.server_pauses import ServerPauses
from medlarbeam.gateway.server_starts import ServerStarts
from medlarbeam.gateway.stalled_runs import StalledRuns
from medlarbeam.gateway.stream_origins import StreamOrigins
from medlarbeam.node.component import ComponentHost

__all__ = ["Gateway"]

MIN_POOL_ENGINES = 8  # backend servers with engines in a failure domain that forms a separate pool


class Gateway(ComponentHost):
    """Assembles the components of an entry node; driven by messages and time.

    Parameters
    ----------
    settings : GatewaySettings
    rng : random.Random
        Seeded source of every random choice.

    Notes
    -----
    Times are seconds of a clock that also runs while the VM is suspended, so that rights have
    expired when it resumes.
    """

    __slots__ = (
        "admission",
        "config_versions",
        "crash_reports",
        "crashes",
        "fleet",
        "forwarding",
        "health",
        "holdings",
        "inquiries",
        "leaving",
        "lifecycle",
        "limits",
        "orders",
        "origins",
        "paths",
        "pauses",
        "prompts",
        "quotas",
        "reachability",
        "refusals",
        "relays",
        "rights",
        "rng",
        "settings",
        "stalls",
        "starts",
        "uses",
    )

    def __init__(self, settings, rng):
        self.settings = settings
        self.rng = rng
        self.fleet = FleetState(self)
        self.starts = ServerStarts(self)
        self.origins = StreamOrigins(self)
        self.leaving = LeavingServers(self)
        self.reachability = NodeReachability(self)
        self.paths = ServerPaths(self)
        self.health = ServerHealth(self)
        self.limits = ServerLimits(self)
        self.refusals = RefusalLimits(self)
        self.pauses = ServerPauses(self)
        self.prompts = PromptPacing(self)
        self.crashes = CrashSuspects(self)
        self.crash_reports = CrashReports(self)
        self.inquiries = CrashInquiries(self)
        self.lifecycle = GatewayLifecycle(self)
        self.rights = OrderRights(self)
        self.holdings = Holdings(self)
        self.orders = Orders(self)
        self.relays = Relays(self)
        self.config_versions = ConfigVersions(self)
        self.quotas = OrganisationQuotas(self)
        self.admission = Admission(self)
        self.forwarding = Forwarding(self)
        self.stalls = StalledRuns(self)
        self.uses = AdapterUses(self)
        # The store entries are updated first, so that the other components see each change.
        super().__init__(
            [
                self.fleet,
                self.starts,
                self.origins,
                self.leaving,
                self.reachability,
                self.paths,
                self.health,
                self.limits,
                self.refusals,
                self.pauses,
                self.prompts,
                self.crashes,
                self.crash_reports,
                self.inquiries,
                self.lifecycle,
                self.rights,
                self.holdings,
                self.orders,
                self.config_versions,
                self.quotas,
                self.admission,
                self.relays,
                self.forwarding,
                self.stalls,
                self.uses,
            ]
        )

    def _is_separate_pool(self):
        """Return whether this node's failure domain has enough engines to form a separate pool.

        Traffic between failure domains is expensive, but a small pool holds few adapters.
        """
        domain = self.settings.failure_domain
        near = [k.entry for k in self.fleet.servers.values() if k.entry.failure_domain == domain]
        return sum(1 for entry in near if self.fleet.find_engine(entry)) >= MIN_POOL_ENGINES

    def measure(self, now):
        """Return the values of the gauges of the metrics page at `now` (s), by name."""
        fleet = self.fleet
        config = fleet.config
        return {
            "open_requests": self.relays.open_count(),
            "config_version": config.version if config is not None else 0,
            "store_age_seconds": now - self.rights.find_confirmed_at(),
            "servers": sum(1 for k in fleet.servers.values() if k.stop_at > now),
            "leaving_servers": sum(1 for k in fleet.servers.values() if k.is_listed_leaving()),
            "suspect_servers": self.health.count_suspects(),
            "ordered_servers": len(self.orders.schedulers),
            "limited_servers": len(self.limits.limits),
            "refusal_limits": self.refusals.count_limited(now),
            "lost_paths": self.paths.count_lost(),
            "paused_servers": self.pauses.count_paused(now),
            "quarantines": self.crashes.count_quarantined(),
            "loads_in_transit": self.orders.count_in_transit(),
        }

    def find_pool_nodes(self):
        """Return the names of the nodes in the pool of this node."""
        domain = self.settings.failure_domain
        is_own = self._is_separate_pool()
        nodes = self.fleet.nodes.values()
        return [n.name for n in nodes if n.failure_domain == domain or not is_own]
