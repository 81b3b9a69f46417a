"""Keys that the operator gives to organisations, and when each configuration was written."""

from math import inf

from medlarbeam.classes.record import Record

__all__ = ["KeyConfig", "KeyRing"]

# Number of keys of each organisation at the start.
ORGANISATIONS = {"acme": 4, "bolt": 3, "corp": 1, "without-keys": 0}


class KeyConfig(Record):
    """Holders of the keys in one version of the configuration.

    Parameters
    ----------
    version : int
    written_at : float
        Time (s) at which the store acknowledged it.
    holders : dict of str to str
        Name of the organisation by key.
    """

    __slots__ = ("holders", "version", "written_at")

    def __init__(self, version, written_at, holders):
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
    configs : list of KeyConfig
        In the order in which they were written.
    """

    __slots__ = ("configs", "given_count", "holders")

    def __init__(self):
        self.holders = {}
        self.given_count = 0
        self.configs = []
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
        return [
            {"name": name, "apiKeys": [k for k, holder in self.holders.items() if holder == name]}
            for name in ORGANISATIONS
        ]

    def list_names(self):
        """Return the names of the organisations."""
        return list(ORGANISATIONS)

    def record(self, version, now):
        """Record that the keys were written as a version of the configuration."""
        self.configs.append(KeyConfig(version, now, dict(self.holders)))

    # Callers

    def choose_held(self, rng, organisation=None):
        """Return a key of an organisation; of any by default, or if the organisation has none."""
        own = [key for key, holder in self.holders.items() if holder == organisation]
        return rng.choice(own or list(self.holders))

    def list_withdrawn(self):
        """Return the keys that some configuration held and the next one does not."""
        former = dict.fromkeys(key for config in self.configs for key in config.holders)
        return [key for key in former if key not in self.holders]

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
        ends = [config.written_at for config in self.configs[1:]] + [inf]
        return {
            config.holders.get(key)
            for config, end in zip(self.configs, ends, strict=True)
            if config.written_at <= until and end >= since
        }
