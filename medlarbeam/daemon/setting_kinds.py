"""Kinds of setting values: how a text becomes a value, or an error that says what is expected."""

import math
import re
from abc import ABC, abstractmethod
from ipaddress import ip_address

from medlarbeam.classes.record import Record

__all__ = [
    "Address",
    "AddressKind",
    "ChoiceKind",
    "IntegerKind",
    "NameKind",
    "Peer",
    "PeersKind",
    "RateKind",
    "SecondsKind",
    "SecretKind",
    "SettingKind",
    "join_address",
]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class Address(Record):
    """An IP address and a port."""

    __slots__ = ("ip", "port")

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port


def join_address(address):
    """Return an `Address` as ``ip:port`` text, with brackets around IPv6."""
    ip = f"[{address.ip}]" if ":" in address.ip else address.ip
    return f"{ip}:{address.port}"


class Peer(Record):
    """Another node and the address of its peer interface."""

    __slots__ = ("address", "name")

    def __init__(self, name, address):
        self.name = name
        self.address = address


class SettingKind(ABC):
    """Reads the value of a setting.

    Notes
    -----
    `label` is the form of the value as the settings page shows it.
    """

    __slots__ = ()

    label = ""
    repeatable = False

    @abstractmethod
    def parse(self, text):
        """Return the value of `text`; raise ValueError with what was expected."""


class NameKind(SettingKind):
    """A name that is safe in identifiers, keys and headers."""

    __slots__ = ()

    label = "name"

    def parse(self, text):
        """Return `text` if it is a name of 1 to 63 letters, digits, dots, dashes, underscores."""
        if not NAME_PATTERN.fullmatch(text):
            raise ValueError(
                "expected 1 to 63 letters, digits, '.', '_' or '-', a letter or digit first"
            )
        return text


class AddressKind(SettingKind):
    """An IP address with a port; host names are refused because no resolver is used."""

    __slots__ = ()

    label = "ip:port"

    def parse(self, text):
        """Return the `Address`."""
        host, _, port = text.rpartition(":")
        host = host[1:-1] if host.startswith("[") and host.endswith("]") else host
        try:
            ip = str(ip_address(host))
        except ValueError:
            raise ValueError("expected ip:port with an IP address, not a host name") from None
        if not port.isascii() or not port.isdigit() or int(port) > 65535:
            raise ValueError("expected a port from 0 to 65535 behind the last ':'")
        return Address(ip, int(port))


class PeersKind(SettingKind):
    """Names and addresses of other nodes, separated by commas."""

    __slots__ = ()

    label = "name=ip:port"
    repeatable = True

    def parse(self, text):
        """Return a list of `Peer`."""
        peers = []
        for item in filter(None, (part.strip() for part in text.split(","))):
            name, separator, address = item.partition("=")
            if not separator:
                raise ValueError(f"expected name=ip:port, got {item!r}")
            peers.append(Peer(NameKind().parse(name), AddressKind().parse(address)))
        names = [peer.name for peer in peers]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise ValueError(f"peers named more than once: {', '.join(repeated)}")
        return peers


class SecondsKind(SettingKind):
    """A duration in seconds between two bounds."""

    __slots__ = ("highest", "lowest")

    label = "seconds"

    def __init__(self, lowest=0.001, highest=1e7):
        self.lowest = lowest
        self.highest = highest

    def parse(self, text):
        """Return the seconds as a float."""
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not self.lowest <= value <= self.highest:
            raise ValueError(
                f"expected a number of {self.label} from {self.lowest:g} to {self.highest:g}"
            )
        return value


class RateKind(SecondsKind):
    """A number of events a second."""

    __slots__ = ()

    label = "events/s"


class IntegerKind(SettingKind):
    """A whole number between two bounds."""

    __slots__ = ("highest", "lowest")

    label = "integer"

    def __init__(self, lowest=1, highest=2**63):
        self.lowest = lowest
        self.highest = highest

    def parse(self, text):
        """Return the integer."""
        digits = text.isascii() and text.isdigit()
        if not digits or not self.lowest <= int(text) <= self.highest:
            raise ValueError(f"expected a whole number from {self.lowest} to {self.highest}")
        return int(text)


class ChoiceKind(SettingKind):
    """One of a few words."""

    __slots__ = ("choices",)

    def __init__(self, *choices):
        self.choices = choices

    @property
    def label(self):
        """Choices as the settings page shows them."""
        return " or ".join(self.choices)

    def parse(self, text):
        """Return `text` if it is one of the choices."""
        if text not in self.choices:
            raise ValueError(f"expected {self.label}")
        return text


class SecretKind(SettingKind):
    """A shared secret; an error never repeats it."""

    __slots__ = ()

    label = "secret"
    shortest = 16  # below 16 characters a secret is open to guessing over the network

    def parse(self, text):
        """Return the secret as bytes."""
        if len(text) < self.shortest or not text.isascii() or not text.isprintable():
            raise ValueError(f"expected at least {self.shortest} printable ASCII characters")
        return text.encode("ascii")
