"""Types of setting values: parsing of texts, with errors that state the expected form."""

import math
import re
from abc import ABC, abstractmethod
from ipaddress import ip_address

from medlarbeam.classes.record import Record

__all__ = [
    "Address",
    "AddressType",
    "ChoiceType",
    "IntegerType",
    "NameType",
    "Peer",
    "PeersType",
    "RateType",
    "SecondsType",
    "SecretType",
    "SettingType",
    "format_address",
]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class Address(Record):
    """An IP address and a port."""

    __slots__ = ("ip", "port")

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port


def format_address(address):
    """Return an `Address` as ``ip:port`` text, with brackets around IPv6."""
    ip = f"[{address.ip}]" if ":" in address.ip else address.ip
    return f"{ip}:{address.port}"


class Peer(Record):
    """Another node and the address of its peer interface."""

    __slots__ = ("address", "name")

    def __init__(self, name, address):
        self.name = name
        self.address = address


class SettingType(ABC):
    """Parser of the values of one type of setting.

    Notes
    -----
    `label` describes the form of the value on the settings page. The flag of a `repeatable` type
    may be given several times.
    """

    __slots__ = ()

    label = ""
    repeatable = False

    @abstractmethod
    def parse(self, text):
        """Return the value of `text`; raise ValueError that states the expected form."""


class NameType(SettingType):
    """Name that is safe in identifiers, keys and headers."""

    __slots__ = ()

    label = "name"

    def parse(self, text):
        """Return `text` if it is a name of 1 to 63 letters, digits, dots, dashes, underscores."""
        if not NAME_PATTERN.fullmatch(text):
            raise ValueError(
                "expected 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
            )
        return text


class AddressType(SettingType):
    """IP address with a port; host names are rejected because no resolver is used."""

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
            raise ValueError("expected a port from 0 to 65535 after the last ':'")
        return Address(ip, int(port))


class PeersType(SettingType):
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
            peers.append(Peer(NameType().parse(name), AddressType().parse(address)))
        names = [peer.name for peer in peers]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise ValueError(f"peers listed more than once: {', '.join(repeated)}")
        return peers


class SecondsType(SettingType):
    """Duration in seconds between two bounds."""

    __slots__ = ("maximum", "minimum")

    label = "seconds"

    def __init__(self, minimum=0.001, maximum=1e7):
        self.minimum = minimum
        self.maximum = maximum

    def parse(self, text):
        """Return the number as a float."""
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not self.minimum <= value <= self.maximum:
            raise ValueError(
                f"expected a number of {self.label} from {self.minimum:g} to {self.maximum:g}"
            )
        return value


class RateType(SecondsType):
    """Number of events per second between two bounds."""

    __slots__ = ()

    label = "events/s"


class IntegerType(SettingType):
    """Integer between two bounds."""

    __slots__ = ("maximum", "minimum")

    label = "integer"

    def __init__(self, minimum=1, maximum=2**63):
        self.minimum = minimum
        self.maximum = maximum

    def parse(self, text):
        """Return the integer."""
        digits = text.isascii() and text.isdigit()
        if not digits or not self.minimum <= int(text) <= self.maximum:
            raise ValueError(f"expected an integer from {self.minimum} to {self.maximum}")
        return int(text)


class ChoiceType(SettingType):
    """One of a fixed set of words."""

    __slots__ = ("choices",)

    def __init__(self, *choices):
        self.choices = choices

    @property
    def label(self):
        """Choices in the form of the settings page."""
        return " or ".join(self.choices)

    def parse(self, text):
        """Return `text` if it is one of the choices."""
        if text not in self.choices:
            raise ValueError(f"expected {self.label}")
        return text


class SecretType(SettingType):
    """Shared secret; error messages never contain it."""

    __slots__ = ()

    label = "secret"
    min_length = 16  # a secret below 16 characters could be guessed over the network

    def parse(self, text):
        """Return the secret as bytes."""
        if len(text) < self.min_length or not text.isascii() or not text.isprintable():
            raise ValueError(f"expected at least {self.min_length} printable ASCII characters")
        return text.encode("ascii")
