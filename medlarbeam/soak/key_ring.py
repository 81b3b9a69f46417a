"""Keys and quotas that the operator gives to organisations, and when they were written."""

from math import inf

from medlarbeam.classes.record import Record

__all__ = ["LIMITED", "LIMITED_KEY", "KeyConfig", "KeyRing"]

# Number of keys of each organisation at the start.
ORGANISATIONS = {"acme": 4, "bolt": 3, "corp": 1, "without-keys": 0}
# The organisation with a quota. Its key stays, and only `LimitedCaller` uses it.
LIMITED = "rush"
LIMITED_KEY = "key-of-rush"
LIMIT = 1000.0  # tokens per second at the start, and tokens of the burst


class KeyConfig(Record):
    """Holders of the keys, and the quota, in one version of the configuration.

    Parameters
    ----------
    version : int
    written_at : float
        Time (s) at which the store acknowledged it.
    holders : dict of str to str
        Name of the organisation by key.
    limit : float
        Quota of the organisation that has one (tokens per second).
    """

    __slots__ = ("holders", "limit", "version", "written_at")

    def __init__(self, version, written_at, holders, limit=LIMIT):
        self.limit = limit
        self.version = version
        self.written_at = written_at
        self.holders = holders


class KeyRing:
    """Keys that the operator has given out, and all configurations that contain them.

    Attributes
    ----------
    holders : dict of str to str
        Name of the organisation by key, for the next configuration.
    given_count : int
        Number of keys ever given out, so that no key is given out twice.
    limit : float
        Quota (tokens per second) for the next configuration.
    configs : list of KeyConfig
        In the order in which they were written.
    """

    __slots__ = ("configs", "given_count", "holders", "limit")

    def __init__(self):
        self.holders = {}
        self.given_count = 0
        self.configs = []
        self.limit = LIMIT
        for organisation, count in ORGANISATIONS.items():
            for _ in range(count):
                self.give(organisation)

    # The operator

    def give(self, organisation):
        """Give a new key to an organisation."""
        self.given_count += 1
        self.holders[f"key-{self.given_count}-of-{organisation}"] = organisation

    def encode(self):
        """Return the documents of the organisations for the next configuration."""
        limited = {"name": LIMITED, "apiKeys": [LIMITED_KEY], "unit": "token_stream"}
        limited |= {"ratePerS": self.limit, "burst": self.limit, "plainTokens": 1}
        return [limited] + [
            {"name": name, "apiKeys": [k for k, holder in self.holders.items() if holder == name]}
            for name in ORGANISATIONS
        ]

    def list_names(self):
        """Return the names of the organisations."""
        return list(ORGANISATIONS)

    def record(self, version, now):
        """Record that the keys were written as a version of the configuration."""
        holders = {**self.holders, LIMITED_KEY: LIMITED}
        self.configs.append(KeyConfig(version, now, holders, self.limit))

    # Callers

    def choose_held(self, rng, organisation=None):
        """Return a key of an organisation; of any by default, or if the organisation has none."""
        own = [key for key, holder in self.holders.items() if holder == organisation]
        return rng.choice(own or list(self.holders))

    def list_withdrawn(self):
        """Return the keys that some configuration held and the next one does not."""
        former = dict.fromkeys(key for config in self.configs for key in config.holders)
        return [key for key in former if key not in self.holders and key != LIMITED_KEY]

    def find_holder(self, key):
        """Return the last organisation that held a key."""
        return next(c.holders[key] for c in reversed(self.configs) if key in c.holders)

    # The checker

    def list_known_keys(self):
        """Return all keys that some configuration held."""
        return {key for config in self.configs for key in config.holders}

    def find_holders(self, key, since, until):
        """Return the holders of a key in all configurations that were in force in a period.

        Parameters
        ----------
        key : str or None
        since, until : float
            Period (s); ``-inf`` for all configurations up to `until`.

        Returns
        -------
        holders : set of str or None
            With None if one of the configurations does not hold the key.
        """
        return {config.holders.get(key) for config in self._list_in_force(since, until)}

    def find_limit(self, since, until, choose=max):
        """Return the highest limit, or another choice, in force in a period (s)."""
        return choose(config.limit for config in self._list_in_force(since, until))

    def _list_in_force(self, since, until):
        ends = [config.written_at for config in self.configs[1:]] + [inf]
        return [
            config
            for config, end in zip(self.configs, ends, strict=True)
            if config.written_at <= until and end >= since
        ]
