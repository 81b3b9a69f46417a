"""Changes of the keys of connected callers."""

import asyncio
import logging

from medlarbeam.soak.faults import FAULTS, Fault
from medlarbeam.soak.quota_load import ChangeQuota

__all__ = ["MAIN_FAULTS", "WithdrawKey"]

log = logging.getLogger(__name__)

GIVE_BACK_S = 4.0  # longer than the checker allows gateways for a new configuration


class WithdrawKey(Fault):
    """The operator withdraws a key, gives it back later, or moves it to another organisation."""

    __slots__ = ()
    name = "withdraw_key"

    def choose(self, deployment, rng):
        """Return the name of an organisation that holds a key."""
        return rng.choice(sorted(set(deployment.key_ring.holders.values())))

    async def apply(self, deployment, target, rng, duration_s):
        """Withdraw a key of an organisation; see `Fault.apply`."""
        ring = deployment.key_ring
        way = rng.choice(("for good", "for a time", "for another organisation"))
        # A change of another organisation may have taken the last key of this one since.
        keys = [key for key, holder in ring.holders.items() if holder == target]
        if not keys:
            return
        key = rng.choice(keys)
        log.info("%s is withdrawn from %s %s", key, target, way)
        del ring.holders[key]
        if way == "for good":
            ring.give(target)
        elif way == "for another organisation":
            ring.holders[key] = rng.choice([n for n in ring.list_names() if n != target])
        deployment.write_config(deployment.routes)
        if way == "for a time":
            await asyncio.sleep(GIVE_BACK_S + duration_s)
            ring.holders[key] = target
            deployment.write_config(deployment.routes)


# Keys change often, so that they change during most other faults too.
MAIN_FAULTS = [*FAULTS, WithdrawKey(), WithdrawKey(), ChangeQuota()]
