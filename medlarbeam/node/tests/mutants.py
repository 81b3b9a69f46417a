"""Nodes without one mechanism each, which the schedules must detect."""

from medlarbeam.algorithms.naive_claims import NaiveClaims
from medlarbeam.classes.cells import VmEntry
from medlarbeam.classes.key_value import KvPut
from medlarbeam.classes.messages import VmList
from medlarbeam.exceptions import RunState
from medlarbeam.node.assembly import build_parts
from medlarbeam.node.catalog import HEAD_KEY
from medlarbeam.node.chunk_reorder_buffer import ChunkReorderBuffer
from medlarbeam.node.component import EvictionGrant
from medlarbeam.node.lifecycle import Lifecycle
from medlarbeam.node.membership import Membership
from medlarbeam.node.node import Node
from medlarbeam.node.notes import NoteApplier
from medlarbeam.node.request_router import RequestRouter
from medlarbeam.readwrite.values import CATALOG_HEAD

__all__ = ["MUTANTS", "build_with_parts"]


class EvictionWithoutPledges(Membership):
    """Evicts whenever the record names it as the owner, without pledges."""

    __slots__ = ()

    def may_evict(self, server, model, now):
        if self.is_owner(server):
            return EvictionGrant(self.get_fencing_token(server), now + 5.0)
        return super().may_evict(server, model, now)


class RunWithoutOwnership(Membership):
    """Runs on any backend server of its cell at any time."""

    __slots__ = ()

    def may_run(self, server, now):
        return None if self._find_membership(server) is not None else super().may_run(server, now)


class RunStateOfLastAttempt(RequestRouter):
    """Reports the run state of the last attempt only."""

    __slots__ = ()

    def _fail_attempt(self, entry, failure, now, out):
        super()._fail_attempt(entry, failure, now, out)
        entry.run_state = RunState.NOT_RUN


class RetryOfNonIdempotent(RequestRouter):
    """Retries a non-idempotent request that may have run."""

    __slots__ = ()

    def _is_repeatable(self, entry):
        return True


class ArrivalOrderBuffer(ChunkReorderBuffer):
    """Joins chunks in the order of their arrival instead of their positions."""

    __slots__ = ()

    def add(self, position, text):
        self.parts.append(text)
        self.position += 1
        return True


class ArrivalOrderRouter(RequestRouter):
    """Forwards chunks in the order of their arrival."""

    __slots__ = ()

    def handle_request(self, message, now, out):
        super().handle_request(message, now, out)
        entry = self.open.get(message.request.request_id)
        if entry is not None:
            entry.chunk_buffer = ArrivalOrderBuffer()


class ImmediateExit(Lifecycle):
    """Exits at once on shutdown, without waiting for work in progress."""

    __slots__ = ()

    def _may_exit(self, now):
        return True


class UnconditionalHeadWrite(NoteApplier):
    """Writes the catalog head without compare-and-swap."""

    __slots__ = ()

    def write_head(self, change, now, out):
        self._call(change, KvPut(HEAD_KEY, CATALOG_HEAD.encode(change.change.head)), now, out)


class LeavingServersIgnored(Membership):
    """Ignores that the VM list marks backend servers as leaving."""

    __slots__ = ()

    def handle_vm_list(self, vm_list, now, out):
        vms = [VmEntry(vm.name, False, vm.server) for vm in vm_list.vms]
        super().handle_vm_list(VmList(vm_list.requested_at, vms), now, out)


def build_with_parts(**changes):
    """Return a function that builds a node with some components replaced."""

    def build(settings, rng):
        parts = build_parts()
        for name, part in changes.items():
            setattr(parts, name, part)
        return Node(settings, rng, parts)

    return build


def make_request_router_factory(kind):
    """Return a factory of a request router of class `kind` with the policies of the daemon."""

    def build(node):
        default_router = build_parts().requests(node)
        return kind(node, default_router.routing, default_router.budget)

    return build


MUTANTS = {
    "eviction-without-pledges": build_with_parts(ownership=EvictionWithoutPledges),
    "run-without-ownership": build_with_parts(ownership=RunWithoutOwnership),
    "claims-in-memory": build_with_parts(claims=NaiveClaims),
    "run-state-of-last-attempt": build_with_parts(
        requests=make_request_router_factory(RunStateOfLastAttempt)
    ),
    "charges-are-retried": build_with_parts(
        requests=make_request_router_factory(RetryOfNonIdempotent)
    ),
    "exit-without-waiting": build_with_parts(lifecycle=ImmediateExit),
    "head-written-blindly": build_with_parts(notes=UnconditionalHeadWrite),
    "vm-list-ignored": build_with_parts(ownership=LeavingServersIgnored),
    "chunks-in-arrival-order": build_with_parts(
        requests=make_request_router_factory(ArrivalOrderRouter)
    ),
}
