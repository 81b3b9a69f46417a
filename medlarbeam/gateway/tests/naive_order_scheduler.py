"""Naive scheduling of orders, as the reference for `OrderScheduler`."""

from medlarbeam.gateway.order_scheduler import (
    MAX_COLD_IN_TRANSIT,
    MAX_IN_TRANSIT,
    OrderScheduler,
)


class NaiveOrderScheduler(OrderScheduler):
    """Keeps nothing from one decision to the next, and looks at all residencies and demands."""

    __slots__ = ()

    def _find_tagged(self, tag):
        return [r for r in self.residencies.values() if self.chart.has_tag(r, tag)]

    def _find_wanted(self):
        return [d for d in self.demands.values() if d.key not in self.residencies]

    def _find_capacity(self, engine):
        return self._compute_capacity(engine)

    def _decide_adapter(self, engine, published_versions, in_use, now):
        for residency in self.residencies.values():
            newest = published_versions.get(residency.key, 0)
            if newest > residency.version and self.chart.has_tag(residency, "resident"):
                if not self._is_idle(residency, in_use, now):
                    return self._replace(residency, newest, now)
                return self._unload(residency, now)
        in_transit = self._find_tagged("in_transit")
        cold = sum(1 for r in in_transit if not r.is_warm)
        demands = [
            d
            for d in self._find_wanted()
            if cold < MAX_COLD_IN_TRANSIT or d.key in self.recently_unloaded
        ]
        if not demands or len(in_transit) >= MAX_IN_TRANSIT:
            return None
        demand = min(demands, key=lambda d: d.sort_key(now))
        if demand.key.model not in self.models or demand.key.model not in engine.models:
            return None
        if len(self.residencies) < self._find_capacity(engine):
            return self._load(demand.key, published_versions.get(demand.key, 0), now)
        idle = self._find_idle(in_use, now)
        return self._evict(idle, now) if idle else None
