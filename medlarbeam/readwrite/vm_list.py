"""The platform's VM list, a JSON document.

::

    {"vms": [{"name": "w1", "state": "live", "role": "backend", "failure_domain": "a",
              "cell": "a", "address": "127.0.0.1:8000", "service": "", "slots": 4,
              "concurrency": 8, "fencing": true}]}

`state` is ``live`` or ``leaving``, `role` is ``entry`` or ``backend``. An entry VM needs `name`,
`state` and `role` only. Fields that are not known are passed over, as the platform may add some.
"""

from enum import Enum
from ipaddress import ip_address

import orjson

from medlarbeam.classes.cells import BackendServer, VmEntry
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.value_kinds import (
    ChoiceKind,
    FlagKind,
    IntegerKind,
    TextKind,
    ValueKind,
    join_faults,
    show,
)

__all__ = ["AddressKind", "parse_vm_list"]


class _VmState(Enum):
    LIVE = "live"
    LEAVING = "leaving"


class _VmRole(Enum):
    ENTRY = "entry"
    BACKEND = "backend"


class AddressKind(ValueKind):
    """Address ``ip:port``; an IPv6 address stands in brackets."""

    __slots__ = ()

    def read(self, value, place, faults):
        """Return the address."""
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        try:
            if host.startswith("[") != (":" in host):
                raise ValueError("brackets do not fit the address")
            ip_address(host[1:-1] if host.startswith("[") and host.endswith("]") else host)
            good = port.isascii() and port.isdecimal() and 0 < int(port[:6]) < 65536
        except ValueError:
            good = False
        if not good:
            faults.append(f"{place} {show(value)} is not ip:port")
        return value


_TEXT = TextKind()
_COMMON = {"name": _TEXT, "state": ChoiceKind(_VmState), "role": ChoiceKind(_VmRole)}
_SERVER = {"address": AddressKind(), "failure_domain": _TEXT, "cell": _TEXT}
_SERVER_OPTIONAL = {
    "service": _TEXT,
    "slots": IntegerKind(),
    "concurrency": IntegerKind(1),
    "fencing": FlagKind(),
}


def _read_fields(raw, kinds, place, faults):
    fields = {}
    for name, kind in kinds.items():
        if name in raw:
            fields[name] = kind.read(raw[name], f"{place}.{name}", faults)
        else:
            faults.append(f"{place}.{name} is missing")
    return fields


def _read_vm(raw, place, faults):
    if not isinstance(raw, dict):
        faults.append(f"{place} must be an object and is {show(raw)}")
        return None
    common = _read_fields(raw, _COMMON, place, faults)
    server = None
    if common.get("role") is _VmRole.BACKEND:
        optional = {name: kind for name, kind in _SERVER_OPTIONAL.items() if name in raw}
        fields = _read_fields(raw, _SERVER | optional, place, faults)
        if not faults:
            server = BackendServer(common["name"], **fields)
    return VmEntry(common.get("name"), common.get("state") is _VmState.LEAVING, server)


def parse_vm_list(data):
    """Return the list of `VmEntry` in the VM list document.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    list of VmEntry

    Raises
    ------
    FormatError
        With all faults; a list with a bad line is refused as a whole, since a VM that is left out
        would count as gone.
    """
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise FormatError(f"VM list is not JSON: {error}") from error
    raw_vms = document.get("vms") if isinstance(document, dict) else None
    if not isinstance(raw_vms, list):
        raise FormatError("VM list must be an object with a list 'vms'")
    faults = []
    vms = [_read_vm(raw, f"vms[{i}]", faults) for i, raw in enumerate(raw_vms)]
    names = set()
    for i, vm in enumerate(vms):
        if not faults and vm.name in names:
            faults.append(f"vms[{i}].name {show(vm.name)} is in the list already")
        names.add(vm.name if vm and isinstance(vm.name, str) else None)
    if faults:
        raise FormatError(f"VM list: {join_faults(faults)}")
    return vms
