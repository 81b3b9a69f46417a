"""Parser of the VM list of the platform, a JSON document.

::

    {"vms": [{"name": "w1", "state": "live", "role": "backend", "failure_domain": "a",
              "cell": "a", "address": "127.0.0.1:8000", "service": "", "slots": 4,
              "concurrency": 8, "fencing": true}]}

`state` is ``live`` or ``leaving``, `role` is ``entry`` or ``backend``. An entry VM needs only
`name`, `state` and `role`. Unknown fields are ignored, as the platform may add some.
"""

from enum import Enum
from ipaddress import ip_address

import orjson

from medlarbeam.classes.cells import BackendServer, VmEntry
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.value_codecs import (
    BooleanCodec,
    EnumCodec,
    IntegerCodec,
    StringCodec,
    ValueCodec,
    format_value,
    join_errors,
)

__all__ = ["AddressCodec", "parse_vm_list"]


class _VmState(Enum):
    LIVE = "live"
    LEAVING = "leaving"


class _VmRole(Enum):
    ENTRY = "entry"
    BACKEND = "backend"


class AddressCodec(ValueCodec):
    """Address ``ip:port``, with brackets around an IPv6 address."""

    __slots__ = ()

    def from_json(self, value, path, errors):
        """Return the address."""
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        try:
            if host.startswith("[") != (":" in host):
                raise ValueError("only an IPv6 address has brackets")
            ip_address(host[1:-1] if host.startswith("[") and host.endswith("]") else host)
            is_valid = port.isascii() and port.isdecimal() and 0 < int(port[:6]) < 65536
        except ValueError:
            is_valid = False
        if not is_valid:
            errors.append(f"{path} {format_value(value)} is not ip:port")
        return value


_STRING = StringCodec()
_COMMON = {"name": _STRING, "state": EnumCodec(_VmState), "role": EnumCodec(_VmRole)}
_SERVER = {"address": AddressCodec(), "failure_domain": _STRING, "cell": _STRING}
_SERVER_OPTIONAL = {
    "service": _STRING,
    "slots": IntegerCodec(),
    "concurrency": IntegerCodec(1),
    "fencing": BooleanCodec(),
}


def _read_fields(raw, codecs, path, errors):
    fields = {}
    for name, codec in codecs.items():
        if name in raw:
            fields[name] = codec.from_json(raw[name], f"{path}.{name}", errors)
        else:
            errors.append(f"{path}.{name} is missing")
    return fields


def _read_vm(raw, path, errors):
    if not isinstance(raw, dict):
        errors.append(f"{path} must be an object, got {format_value(raw)}")
        return None
    common_fields = _read_fields(raw, _COMMON, path, errors)
    server = None
    if common_fields.get("role") is _VmRole.BACKEND:
        optional = {name: codec for name, codec in _SERVER_OPTIONAL.items() if name in raw}
        fields = _read_fields(raw, _SERVER | optional, path, errors)
        if not errors:
            server = BackendServer(common_fields["name"], **fields)
    return VmEntry(
        common_fields.get("name"), common_fields.get("state") is _VmState.LEAVING, server
    )


def parse_vm_list(data):
    """Return the entries of a VM list document.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    list of VmEntry

    Raises
    ------
    FormatError
        If any entry is invalid; the message lists the errors. The list is rejected as a whole, as a
        VM missing from the result would be treated as removed.
    """
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise FormatError(f"VM list is not JSON: {error}") from error
    raw_vms = document.get("vms") if isinstance(document, dict) else None
    if not isinstance(raw_vms, list):
        raise FormatError("VM list must be an object with a list 'vms'")
    errors = []
    vms = [_read_vm(raw, f"vms[{i}]", errors) for i, raw in enumerate(raw_vms)]
    seen_names = set()
    for i, vm in enumerate(vms):
        if not errors and vm.name in seen_names:
            errors.append(f"vms[{i}].name {format_value(vm.name)} is a duplicate")
        seen_names.add(vm.name if vm and isinstance(vm.name, str) else None)
    if errors:
        raise FormatError(f"VM list: {join_errors(errors)}")
    return vms
