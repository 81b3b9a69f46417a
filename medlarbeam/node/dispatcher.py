"""Dispatch of queued attempts to the backend servers that this node manages."""

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import CancelOnServer, LogEvent, PollServer, RunOnServer
from medlarbeam.classes.messages import (
    EngineChunk,
    EngineEnd,
    EngineFailure,
    EngineReport,
    LoadResult,
    UnloadResult,
    VmList,
)
from medlarbeam.classes.peer_messages import CancelAttempt, Forward
from medlarbeam.exceptions import ErrorKind, Failure, RunState
from medlarbeam.node.component import Runs
from medlarbeam.node.managed_backend import Attempt, ManagedBackend
from medlarbeam.node.response_sender import ResponseSender
from medlarbeam.node.seen_attempts import SeenAttempts, make_attempt_key

__all__ = ["Dispatcher"]

SCAN_INTERVAL_S = 0.1  # resolution of deadlines and polls
VM_LIST_WAIT_S = 1.0  # wait for the VM list after a pause; its outage must not stop all work
LOAD_STALL_LIMIT_S = 2.0  # wait for a load that cannot be ordered; then another server is tried


class Dispatcher(Runs):
    """Queues attempts by rank and starts them on backend servers once their adapter is loaded.

    Parameters
    ----------
    node : Node
    loads : AdapterLoads
    make_queue : callable
        Returns a new `WaitingQueue`.
    """

    __slots__ = (
        "attempt_chart",
        "backends",
        "loads",
        "make_queue",
        "next_run",
        "next_scan",
        "open_attempts",
        "response_sender",
        "runs",
        "seen",
        "server_chart",
        "vms_read_at",
    )

    def __init__(self, node, loads, make_queue):
        super().__init__(node)
        self.loads = loads
        self.make_queue = make_queue
        self.attempt_chart = load_chart("attempt", Dispatcher)
        self.server_chart = load_chart("backend_server", Dispatcher)
        self.backends = {}
        self.runs = {}  # running attempts, by run id
        self.open_attempts = {}  # queued, running and lost attempts, by attempt key
        self.seen = SeenAttempts()
        self.response_sender = ResponseSender(node)
        self.next_run = 0
        self.vms_read_at = float("-inf")
        self.next_scan = 0.0

    def handlers(self):
        """Return the handlers by message class."""
        return {
            EngineChunk: self.handle_engine_chunk,
            EngineEnd: self.handle_engine_end,
            EngineFailure: self.handle_engine_failure,
            EngineReport: self.handle_report,
            LoadResult: self.handle_load_result,
            UnloadResult: self.handle_unload_result,
            VmList: self.handle_vm_list,
        }

    def peer_handlers(self):
        """Return the handlers by peer message class."""
        return {Forward: self.submit, CancelAttempt: self.cancel}

    # Attempts of entry nodes

    def submit(self, sender, forward, now, out):
        """Enqueue an attempt for its backend server, or refuse it."""
        key = make_attempt_key(sender, forward.request.request_id, forward.attempt)
        if key in self.seen:
            return  # duplicated in transit, or overtaken by its cancellation
        self.seen.add(key, now + forward.remaining_s)
        if sender != self.node.settings.name:
            forward.request.deadline = now + forward.remaining_s
        backend = self._get_or_create_backend(forward.server, now)
        failure = self._check(backend, forward, now)
        if failure is not None:
            self.response_sender.send_end(sender, forward, now, out, failure=failure)
            return
        self.next_run += 1
        settings = self.node.settings
        run_id = f"{settings.name}-{settings.incarnation}-r{self.next_run}"
        state = self.attempt_chart.initial
        deadline = forward.request.deadline
        attempt = Attempt(state, backend, sender, forward, run_id, deadline, now)
        self.open_attempts[key] = attempt
        displaced = backend.queue.push(attempt)
        if displaced is not None:
            displaced.failure = Failure(ErrorKind.OVERLOADED, f"queue of {forward.server} is full")
            if displaced is attempt:
                self._remove_attempt(attempt)
                self.response_sender.send_end(sender, forward, now, out, failure=displaced.failure)
                return
            self._fire(displaced, "displaced", now, out)
        self._schedule(backend, now, out)

    def _check(self, backend, forward, now):
        if backend is None:
            return Failure(ErrorKind.NOT_OWNER, f"unknown backend server {forward.server}")
        failure = self.node.ownership.may_run(forward.server, now)
        if failure is not None:
            return failure
        if not self.server_chart.has_tag(backend, "accepting"):
            return Failure(ErrorKind.SERVER_REFUSED, f"{forward.server} is {backend.state}")
        if forward.remaining_s <= 0:
            return Failure(ErrorKind.DEADLINE_IN_QUEUE, "the deadline passed in transit")
        failure = self.node.crashes.check(forward.request, now)
        if failure is None and forward.model:
            failure = self.node.catalog.check(forward.model, now)
        return failure

    def cancel(self, sender, cancel, now, out):
        """Cancel an attempt of `sender`."""
        key = make_attempt_key(sender, cancel.request_id, cancel.attempt)
        self.seen.add(key, now)
        attempt = self.open_attempts.get(key)
        if attempt is not None:
            self._fire(attempt, "cancelled", now, out)
            self._remove_attempt(attempt)
            self._schedule(attempt.backend, now, out)

    def _remove_attempt(self, attempt):
        key = make_attempt_key(attempt.sender, attempt.request.request_id, attempt.forward.attempt)
        self.open_attempts.pop(key, None)

    def _fire(self, attempt, event, now, out, *details):
        self.attempt_chart.fire(attempt, event, self, now, out, *details)

    # Messages of backend servers

    def handle_engine_chunk(self, message, now, out):
        """Forward a chunk if the model of the attempt produced it."""
        attempt = self.runs.get(message.run_id)
        if attempt is None:
            return
        if message.model != attempt.model:
            self._fail_wrong_model(attempt, message.model, now, out)
            return
        attempt.chunks = max(attempt.chunks, message.position + 1)
        self.response_sender.send_chunk(attempt, message.position, message.text, now, out)

    def _fail_wrong_model(self, attempt, model, now, out):
        attempt.failure = Failure(
            ErrorKind.WRONG_MODEL,
            f"{attempt.backend.server.name} responded with model {model!r}",
        )
        self.cancel_run(attempt, now, out)
        self._fire(attempt, "failed", now, out)
        self._schedule(attempt.backend, now, out)

    def handle_engine_end(self, message, now, out):
        """End a run that the backend server completed."""
        attempt = self.runs.get(message.run_id)
        if attempt is None:
            return
        if message.model != attempt.model:
            self._fail_wrong_model(attempt, message.model, now, out)
            return
        attempt.chunks = message.chunks
        self._fire(attempt, "completed", now, out, message.status)
        self._schedule(attempt.backend, now, out)

    def handle_engine_failure(self, message, now, out):
        """End a run that failed, or keep it until a report shows whether the server died."""
        attempt = self.runs.get(message.run_id)
        if attempt is None:
            return
        attempt.failure = message.failure
        backend = attempt.backend
        lost = message.failure.kind is ErrorKind.SERVER_LOST
        self._fire(attempt, "server_lost" if lost else "failed", now, out)
        if message.failure.kind in (ErrorKind.SERVER_LOST, ErrorKind.SERVER_REFUSED):
            self._poll(backend, now, out)
        self._schedule(backend, now, out)

    def handle_load_result(self, result, now, out):
        """Handle the result of a load."""
        backend = self.backends.get(result.server)
        if backend is None:
            return
        if self.loads.handle_load_result(backend, result, now):
            self._refuse_model(backend, result, now, out)
        if result.failure is not None:
            out.emit(LogEvent("load_failed", result.failure.reason, level="warning"))
            self._poll(backend, now, out)
        self._schedule(backend, now, out)

    def _refuse_model(self, backend, result, now, out):
        for attempt in [a for a in backend.queue if a.model == result.model]:
            attempt.failure = Failure(ErrorKind.LOAD_FAILED, result.failure.reason)
            self._fire(attempt, "refused", now, out)

    def handle_unload_result(self, result, now, out):
        """Handle the result of an unload."""
        backend = self.backends.get(result.server)
        if backend is not None:
            self.loads.handle_unload_result(backend, result, now)
            self._schedule(backend, now, out)

    def handle_vm_list(self, vm_list, now, out):
        """Record when the VM list was read; the membership component handles its content."""
        self.vms_read_at = max(self.vms_read_at, vm_list.requested_at)

    def handle_report(self, report, now, out):
        """Handle the result of a poll: the state of a backend server, or a failure."""
        backend = self.backends.get(report.server)
        if backend is None:
            return
        if report.failure is not None:
            self.server_chart.fire(backend, "poll_failed")
            self.loads.handle_failed_report(backend, now)
            died = self.server_chart.has_tag(backend, "down") or bool(backend.lost_runs)
        else:
            died = backend.incarnation not in ("", report.incarnation)
        # The crash tracker identifies a death by the last report before it, so it is called first.
        self._resolve_lost_runs(backend, report, died, now, out)
        if report.failure is None:
            self._apply_report(backend, report, died, now)
        if not self.server_chart.has_tag(backend, "accepting"):
            self._refuse_queued(backend, now, out)
        self._schedule(backend, now, out)

    def _apply_report(self, backend, report, restarted, now):
        backend.report = report
        backend.incarnation = report.incarnation
        self.server_chart.fire(backend, "leaving" if report.leaving else "poll_succeeded")
        self.loads.handle_report(backend, report, restarted, now)

    def _resolve_lost_runs(self, backend, report, died, now, out):
        """Report the runs lost before this report to the crash tracker, then to the entry nodes."""
        if died:
            self._fail_stale_runs(backend, report, now, out)
        ended = [a for a in backend.lost_runs if a.started_at <= report.requested_at]
        if died and ended:
            requests = [a.request for a in ended]
            self.node.crashes.server_died(backend.server.name, requests, now, out)
        for attempt in ended:
            backend.lost_runs.remove(attempt)
            self._fire(attempt, "resolved", now, out)

    def _fail_stale_runs(self, backend, report, now, out):
        """Fail the runs that started before the backend server died or restarted."""
        for attempt in [a for a in backend.runs.values() if a.started_at <= report.requested_at]:
            reason = f"backend server {backend.server.name} restarted or is unreachable"
            attempt.failure = Failure(ErrorKind.SERVER_LOST, reason)
            out.emit(CancelOnServer(attempt.run_id))
            self._fire(attempt, "server_lost", now, out)

    def _refuse_queued(self, backend, now, out):
        for attempt in list(backend.queue):
            reason = f"backend server {backend.server.name} is {backend.state}"
            attempt.failure = Failure(ErrorKind.SERVER_REFUSED, reason)
            self._fire(attempt, "refused", now, out)

    # Scheduling

    def _get_or_create_backend(self, name, now):
        backend = self.backends.get(name)
        if backend is None:
            server = self.node.ownership.find_server(name)
            if server is not None:
                settings = self.node.settings
                backend = ManagedBackend(
                    server, self.server_chart.initial, self.make_queue(settings)
                )
                self.backends[name] = backend
        return backend

    def _schedule(self, backend, now, out):
        """Start the runs and order the loads that are possible now."""
        backend.pending_load = None
        if not len(backend.queue) or not self.server_chart.has_tag(backend, "accepting"):
            return
        if self._is_stale(now) or self.node.ownership.may_run(backend.server.name, now) is not None:
            return
        while len(backend.runs) < backend.server.concurrency:
            attempt = backend.queue.pop(lambda a: self._is_ready(a, now))
            if attempt is None:
                break
            self._start(attempt, now, out)
        self.loads.order_loads(backend, now, out)

    def _is_stale(self, now):
        """Return whether the process was paused and has not read the VM list since.

        A node that resumed after 10 s sent work to a backend server that had begun to leave.
        """
        resumed_at = self.node.resumed_at
        return now - resumed_at < VM_LIST_WAIT_S and self.vms_read_at < resumed_at

    def _is_ready(self, attempt, now):
        backend = attempt.backend
        if attempt.model and not self.loads.is_usable(backend, attempt.model):
            return False
        running = [a.request for a in backend.runs.values()]
        return self.node.crashes.may_start(attempt.request, running, now)

    def _start(self, attempt, now, out):
        backend = attempt.backend
        attempt.started_at = now
        self.node.crashes.begin_run(attempt.request, now)
        if attempt.waited_for_load:
            attempt.load_wait_s = now - attempt.queued_at
        if attempt.model:
            backend.adapters[attempt.model].usage.add_use(now)
        backend.runs[attempt.run_id] = attempt
        self.runs[attempt.run_id] = attempt
        self._fire(attempt, "started", now, out)
        forward = attempt.forward
        out.emit(
            RunOnServer(
                attempt.run_id, backend.server, attempt.model, attempt.request, forward.prefix
            )
        )

    # Actions of the charts

    def remove_from_queue(self, attempt, now, out):
        """Remove an attempt from its queue."""
        attempt.backend.queue.remove(attempt)

    def remove_from_server(self, attempt, now, out, status=200):
        """Remove a run from its backend server."""
        del self.runs[attempt.run_id]
        del attempt.backend.runs[attempt.run_id]

    def cancel_run(self, attempt, now, out):
        """Cancel a run on its backend server."""
        self.loads.mark_run_abandoned(attempt.backend, attempt.model, now)
        out.emit(CancelOnServer(attempt.run_id))

    def await_report(self, attempt, now, out):
        """Keep a lost run until a report shows whether the backend server died."""
        attempt.backend.lost_runs.append(attempt)
        self.loads.mark_run_abandoned(attempt.backend, attempt.model, now)
        self.server_chart.fire(attempt.backend, "connection_lost")

    def send_failure(self, attempt, now, out):
        """Send the failure of the attempt to the entry node."""
        if attempt in attempt.backend.lost_runs:
            attempt.backend.lost_runs.remove(attempt)
        self._end_attempt(attempt, now, out, failure=attempt.failure)

    def send_end(self, attempt, now, out, status=200):
        """Send the successful end of the attempt to the entry node."""
        self.node.crashes.succeeded(attempt.request, now, out)
        self._end_attempt(attempt, now, out, status=status)

    def send_queue_deadline(self, attempt, now, out):
        """Send the entry node a failure: the deadline passed before the run."""
        failure = Failure(ErrorKind.DEADLINE_IN_QUEUE, "the deadline passed in the queue")
        self._end_attempt(attempt, now, out, failure=failure)

    def send_run_deadline(self, attempt, now, out):
        """Send the entry node a failure: the deadline passed during the run."""
        failure = Failure(ErrorKind.DEADLINE_RUNNING, "the deadline passed during the run")
        self._end_attempt(attempt, now, out, failure=failure)

    def _end_attempt(self, attempt, now, out, failure=None, status=200):
        self._remove_attempt(attempt)
        self.response_sender.end_attempt(attempt, now, out, failure, status)

    # Queries of other components

    def summaries(self, now):
        """Return the `ServerSummary` of each backend server that this node manages."""
        names = [s.name for s in self.node.ownership.list_managed_servers(now)]
        backends = [self.backends[n] for n in names if n in self.backends]
        return [b.summarize(self.loads.chart, self._accepts(b)) for b in backends]

    def _accepts(self, backend):
        return self.server_chart.has_tag(backend, "accepting")

    def list_foreign_runs(self, owner):
        """Return the runs on backend servers that another node owns."""
        return [
            count
            for backend in self.backends.values()
            if not self.node.ownership.is_owner(backend.server.name)
            for count in backend.model_counts()
        ]

    def list_runs_on(self, server):
        """Return a list of `ModelCount` of the runs on `server`."""
        backend = self.backends.get(server)
        return backend.model_counts() if backend is not None else []

    def orders_in_flight(self, servers):
        """Return whether an unload order to one of `servers` has no result yet."""
        backends = [self.backends[n] for n in servers if n in self.backends]
        return any(self.loads.orders_in_flight(b) for b in backends)

    def last_report(self, server):
        """Return the last `EngineReport` of `server` without a failure, or None."""
        backend = self.backends.get(server)
        return backend.report if backend is not None else None

    def drain(self, server, draining, now, out):
        """Stop or resume giving new work to `server`."""
        backend = self._get_or_create_backend(server, now)
        if backend is None:
            return
        # The VM list must not revoke an operator's drain order.
        draining = draining or self.node.catalog.is_drained(server)
        if self.server_chart.fire(backend, "drain" if draining else "undrain"):
            self._refuse_queued(backend, now, out)

    def open_count(self):
        """Return the number of attempts that are queued, running or lost."""
        return len(self.open_attempts)

    # Time

    def next_deadline(self):
        """Return the time (s) of the next scan, or of the next load that the budget allows."""
        return min(self.next_scan, self.loads.retry_at)

    def tick(self, now, out):
        """Poll backend servers, enforce deadlines, and start possible runs and loads."""
        if now >= self.loads.retry_at:
            self.loads.retry_at = float("inf")
            for backend in self.backends.values():
                if backend.pending_load is not None:
                    self._schedule(backend, now, out)
        if now >= self.next_scan:
            self._scan(now, out)

    def _scan(self, now, out):
        self.next_scan = now + SCAN_INTERVAL_S
        self.seen.expire(now)
        managed = {s.name for s in self.node.ownership.list_managed_servers(now)}
        for name in managed:
            self._get_or_create_backend(name, now)
        self._update_share(managed)
        for attempt in list(self.open_attempts.values()):
            self._check_time(attempt, now, out)
        for backend in self.backends.values():
            in_use = backend.server.name in managed or backend.has_work()
            if in_use and now - backend.polled_at >= self.node.settings.poll_interval_s:
                self._poll(backend, now, out)
            if backend.server.name not in managed:
                self._refuse_unmanaged(backend, now, out)
            self._schedule(backend, now, out)

    def _update_share(self, managed):
        engines = sum(not self.backends[n].server.service for n in managed)
        self.loads.engine_share = engines / max(1, self.node.ownership.count_engines(), engines)

    def _check_time(self, attempt, now, out):
        if now >= attempt.deadline:
            self._fire(attempt, "deadline", now, out)
        elif self.attempt_chart.has_tag(attempt, "queued"):
            attempt.failure = self._find_queue_failure(attempt, now)
            if attempt.failure is not None:
                self._fire(attempt, "refused", now, out)

    def _find_queue_failure(self, attempt, now):
        """Return the `Failure` of a queued attempt that cannot run here, else None."""
        stalled = attempt.waited_for_load and now - attempt.queued_at > LOAD_STALL_LIMIT_S
        if stalled and not self._has_slot(attempt):
            reason = f"no free slot for {attempt.model} on {attempt.backend.server.name}"
            return Failure(ErrorKind.LOAD_FAILED, reason)
        failure = self.node.crashes.check(attempt.request, now)
        if failure is None and attempt.model:
            failure = self.node.catalog.check(attempt.model, now)
        return failure

    def _has_slot(self, attempt):
        adapter = attempt.backend.adapters.get(attempt.model)
        return adapter is not None and self.loads.chart.has_tag(adapter, "slot")

    def _refuse_unmanaged(self, backend, now, out):
        for attempt in list(backend.queue):
            reason = f"this node no longer manages {backend.server.name}"
            attempt.failure = Failure(ErrorKind.NOT_OWNER, reason, RunState.NOT_RUN)
            self._fire(attempt, "refused", now, out)

    def _poll(self, backend, now, out):
        backend.polled_at = now
        out.emit(PollServer(backend.server, now))
