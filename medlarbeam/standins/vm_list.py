"""Stand-in for the platform's VM list."""

import asyncio
from typing import Annotated

import cappa
from aiohttp import web

from medlarbeam.exceptions import FormatError
from medlarbeam.standins.http import (
    drop_connection,
    json_response,
    parse_address,
    read_field,
    read_json_object,
    read_non_negative,
    serve,
)
from medlarbeam.standins.lagged_value import LaggedValue

__all__ = ["VmList", "describe_backend_vm", "describe_entry_vm", "main", "validate_entry"]

_FIELDS = {
    "name": str,
    "state": str,
    "failure_domain": str,
    "cell": str,
    "address": str,
    "service": str,
    "slots": int,
    "concurrency": int,
    "fencing": bool,
    "role": str,
}


def validate_entry(document):
    """Return the known fields of a list entry; raise `FormatError` if one is invalid."""
    if not isinstance(document, dict):
        raise FormatError("an entry of 'vms' is not a JSON object")
    for key, kind in _FIELDS.items():
        read_field(document, key, kind)
    if document["state"] not in ("live", "leaving"):
        raise FormatError(f"field 'state' is {document['state']!r}, expected 'live' or 'leaving'")
    if document["role"] not in ("entry", "backend"):
        raise FormatError(f"field 'role' is {document['role']!r}, expected 'entry' or 'backend'")
    parse_address(document["address"])
    return {key: document[key] for key in _FIELDS}


def describe_backend_vm(name, address, failure_domain, cell, **fields):
    """Return the list entry of a backend server; `fields` override the defaults of an engine."""
    return {
        "name": name,
        "state": "live",
        "failure_domain": failure_domain,
        "cell": cell,
        "address": address,
        "service": "",
        "slots": 4,
        "concurrency": 8,
        "fencing": False,
        "role": "backend",
        **fields,
    }


def describe_entry_vm(name, address, failure_domain, cell, **fields):
    """Return the list entry of a VM in the role ``entry``, on which the node `name` runs."""
    fields = {"slots": 0, "concurrency": 0, "role": "entry", **fields}
    return describe_backend_vm(name, address, failure_domain, cell, **fields)


class VmList:
    """State of the VM list.

    Parameters
    ----------
    lag_s : float
        Delay (s) until readers see a change.
    """

    __slots__ = ("down", "reads", "vms")

    def __init__(self, lag_s=0.0):
        self.vms = LaggedValue([], lag_s)
        self.reads = 0
        self.down = False

    def replace(self, vms, now):
        """Replace the whole list; raise `FormatError` without a change if an entry is invalid."""
        names = [validate_entry(vm)["name"] for vm in vms]
        if len(set(names)) != len(names):
            raise FormatError("field 'vms' contains the same name twice")
        self.vms.record([validate_entry(vm) for vm in vms], now)

    def read(self, now):
        """Return the list as it was `lag_s` ago, as a JSON document."""
        self.reads += 1
        return {"vms": self.vms.read(now)}


class VmListHttp:
    """HTTP server of the VM list."""

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state

    def routes(self):
        """Return the route table."""
        return [
            web.get("/vms", self.get_vms),
            web.post("/debug/vms", self.replace),
            web.post("/debug/faults", self.set_faults),
            web.get("/debug/counts", self.get_counts),
        ]

    async def get_vms(self, request):
        """Handle ``GET /vms``."""
        if self.state.down:
            return drop_connection(request)
        return json_response(self.state.read(asyncio.get_running_loop().time()))

    async def replace(self, request):
        """Handle ``POST /debug/vms``."""
        document = await read_json_object(request)
        vms = read_field(document, "vms", list)
        self.state.replace(vms, asyncio.get_running_loop().time())
        return json_response({})

    async def set_faults(self, request):
        """Handle ``POST /debug/faults`` with ``{"down": bool, "lag_s": s}``, both optional."""
        document = await read_json_object(request)
        self.state.down = read_field(document, "down", bool, self.state.down)
        self.state.vms.lag_s = read_non_negative(document, "lag_s", self.state.vms.lag_s)
        return json_response({})

    async def get_counts(self, request):
        """Handle ``GET /debug/counts``."""
        return json_response({"reads": self.state.reads})


def main(
    listen: Annotated[
        str, cappa.Arg(long=True, help="ip:port to listen on; port 0 selects a free port")
    ] = "127.0.0.1:0",
    lag_ms: Annotated[
        float, cappa.Arg(long=True, help="delay until readers see a change (ms)")
    ] = 0.0,
):
    """Run the VM list stand-in."""
    serve("vm_list", VmListHttp(VmList(lag_ms / 1000)).routes(), listen)


if __name__ == "__main__":
    cappa.invoke(main)
