"""Queues and runs on the backend servers that this node manages."""

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
from medlarbeam.classes.peer_messages import Cancel, Forward
from medlarbeam.exceptions import ErrorKind, Failure, RunState
from medlarbeam.node.component import Runs
from medlarbeam.node.replies import Replies
from medlarbeam.node.seen_attempts import SeenAttempts, make_attempt_key
from medlarbeam.node.server_desk import Attempt, ServerDesk

__all__ = ["Dispatcher"]

SCAN_INTERVAL_S = 0.1  # granularity of deadlines and polls
WAKE_LIMIT_S = 1.0  # wait for the VM list after a pause; an outage must not stop all work
STALL_LIMIT_S = 2.0  # wait for a load that cannot be ordered, before another server is tried


class Dispatcher(Runs):
    """Gives attempts to backend servers, once their adapter is loaded, by rank.

    Parameters
    ----------
    node : Node
    loads : AdapterLoads
    make_queue : callable
        Returns a new `WaitingQueue`.
    """

    __slots__ = (
        "attempt_chart",
        "desks",
        "loads",
        "make_queue",
        "next_run",
        "next_scan",
        "replies",
        "runs",
        "seen",
        "server_chart",
        "vms_read_at",
        "waiting",
    )

    def __init__(self, node, loads, make_queue):
        super().__init__(node)
        self.loads = loads
        self.make_queue = make_queue
        self.attempt_chart = load_chart("attempt", Dispatcher)
        self.server_chart = load_chart("backend_server", Dispatcher)
        self.desks = {}
        self.runs = {}  # running attempts by run id
        self.waiting = {}  # open attempts by sender, request id and number
        self.seen = SeenAttempts()
        self.replies = Replies(node)
        self.next_run = 0
        self.vms_read_at = float("-inf")
        self.next_scan = 0.0

    def handlers(self):
        """Return the methods by message class."""
        return {
            EngineChunk: self.take_engine_chunk,
            EngineEnd: self.take_engine_end,
            EngineFailure: self.take_engine_failure,
            EngineReport: self.take_report,
            LoadResult: self.take_load_result,
            UnloadResult: self.take_unload_result,
            VmList: self.take_vm_list,
        }

    def peer_handlers(self):
        """Return the methods by peer message class."""
        return {Forward: self.submit, Cancel: self.cancel}

    # Attempts of entry nodes

    def submit(self, sender, forward, now, out):
        """Take an attempt into the queue of its backend server, or refuse it."""
        key = make_attempt_key(sender, forward.request.request_id, forward.attempt)
        if key in self.seen:
            return  # repeated on the way, or overtaken by its cancellation
        self.seen.remember(key, now + forward.remaining_s)
        if sender != self.node.settings.name:
            forward.request.deadline = now + forward.remaining_s
        desk = self._find_desk(forward.server, now)
        failure = self._check(desk, forward, now)
        if failure is not None:
            self.replies.send_end(sender, forward, now, out, failure=failure)
            return
        self.next_run += 1
        settings = self.node.settings
        run_id = f"{settings.name}-{settings.incarnation}-r{self.next_run}"
        state = self.attempt_chart.initial
        deadline = forward.request.deadline
        attempt = Attempt(state, desk, sender, forward, run_id, deadline, now)
        self.waiting[key] = attempt
        displaced = desk.queue.push(attempt)
        if displaced is not None:
            displaced.failure = Failure(ErrorKind.OVERLOADED, f"queue of {forward.server} is full")
            if displaced is attempt:
                self._forget(attempt)
                self.replies.send_end(sender, forward, now, out, failure=displaced.failure)
                return
            self._fire(displaced, "displaced", now, out)
        self._pump(desk, now, out)

    def _check(self, desk, forward, now):
        if desk is None:
            return Failure(ErrorKind.NOT_OWNER, f"backend server {forward.server} is not known")
        failure = self.node.ownership.may_run(forward.server, now)
        if failure is not None:
            return failure
        if not self.server_chart.has_tag(desk, "accepting"):
            return Failure(ErrorKind.SERVER_REFUSED, f"{forward.server} is {desk.state}")
        if forward.remaining_s <= 0:
            return Failure(ErrorKind.DEADLINE_IN_QUEUE, "the deadline passed on the way")
        failure = self.node.crashes.check(forward.request, now)
        if failure is None and forward.model:
            failure = self.node.catalog.check(forward.model, now)
        return failure

    def cancel(self, sender, cancel, now, out):
        """Cancel an attempt of `sender`."""
        key = make_attempt_key(sender, cancel.request_id, cancel.attempt)
        self.seen.remember(key, now)
        attempt = self.waiting.get(key)
        if attempt is not None:
            self._fire(attempt, "cancelled", now, out)
            self._forget(attempt)
            self._pump(attempt.desk, now, out)

    def _forget(self, attempt):
        key = make_attempt_key(attempt.sender, attempt.request.request_id, attempt.forward.attempt)
        self.waiting.pop(key, None)

    def _fire(self, attempt, event, now, out, *details):
        self.attempt_chart.fire(attempt, event, self, now, out, *details)

    # Messages of backend servers

    def take_engine_chunk(self, message, now, out):
        """Pass a chunk on, if the right model made it."""
        attempt = self.runs.get(message.run_id)
        if attempt is None:
            return
        if message.model != attempt.model:
            self._fail_wrong_model(attempt, message.model, now, out)
            return
        attempt.chunks = max(attempt.chunks, message.position + 1)
        self.replies.send_chunk(attempt, message.position, message.text, now, out)

    def _fail_wrong_model(self, attempt, model, now, out):
        attempt.failure = Failure(
            ErrorKind.WRONG_MODEL, f"{attempt.desk.server.name} answered from {model!r}"
        )
        self.cancel_run(attempt, now, out)
        self._fire(attempt, "failed", now, out)
        self._pump(attempt.desk, now, out)

    def take_engine_end(self, message, now, out):
        """End a run."""
        attempt = self.runs.get(message.run_id)
        if attempt is None:
            return
        if message.model != attempt.model:
            self._fail_wrong_model(attempt, message.model, now, out)
            return
        attempt.chunks = message.chunks
        self._fire(attempt, "completed", now, out, message.status)
        self._pump(attempt.desk, now, out)

    def take_engine_failure(self, message, now, out):
        """End a run that failed, or keep it until a report says why."""
        attempt = self.runs.get(message.run_id)
        if attempt is None:
            return
        attempt.failure = message.failure
        desk = attempt.desk
        lost = message.failure.kind is ErrorKind.SERVER_LOST
        self._fire(attempt, "server_lost" if lost else "failed", now, out)
        if message.failure.kind in (ErrorKind.SERVER_LOST, ErrorKind.SERVER_REFUSED):
            self._poll(desk, now, out)
        self._pump(desk, now, out)

    def take_load_result(self, result, now, out):
        """Take the outcome of a load."""
        desk = self.desks.get(result.server)
        if desk is None:
            return
        if self.loads.take_load_result(desk, result, now):
            self._refuse_model(desk, result, now, out)
        if result.failure is not None:
            out.emit(LogEvent("load_failed", result.failure.reason, level="warning"))
            self._poll(desk, now, out)
        self._pump(desk, now, out)

    def _refuse_model(self, desk, result, now, out):
        for attempt in [a for a in desk.queue if a.model == result.model]:
            attempt.failure = Failure(ErrorKind.LOAD_FAILED, result.failure.reason)
            self._fire(attempt, "refused", now, out)

    def take_unload_result(self, result, now, out):
        """Take the outcome of an unload."""
        desk = self.desks.get(result.server)
        if desk is not None:
            self.loads.take_unload_result(desk, result, now)
            self._pump(desk, now, out)

    def take_vm_list(self, vm_list, now, out):
        """Note that the VM list was read; the membership component passes on what it says."""
        self.vms_read_at = max(self.vms_read_at, vm_list.asked_at)

    def take_report(self, report, now, out):
        """Take the state of a backend server, or that it was not reached."""
        desk = self.desks.get(report.server)
        if desk is None:
            return
        if report.failure is not None:
            self.server_chart.fire(desk, "report_bad")
            self.loads.take_bad_report(desk, now)
            died = self.server_chart.has_tag(desk, "down") or bool(desk.lost)
        else:
            died = desk.incarnation not in ("", report.incarnation)
        # The crash tracker identifies a death by the report before it.
        self._resolve_lost(desk, report, died, now, out)
        if report.failure is None:
            self._take_good_report(desk, report, died, now)
        if not self.server_chart.has_tag(desk, "accepting"):
            self._refuse_all(desk, now, out)
        self._pump(desk, now, out)

    def _take_good_report(self, desk, report, restarted, now):
        desk.report = report
        desk.incarnation = report.incarnation
        self.server_chart.fire(desk, "leaving" if report.leaving else "report_good")
        self.loads.take_report(desk, report, restarted, now)

    def _resolve_lost(self, desk, report, died, now, out):
        """Tell the crash tracker and then the entry nodes what was lost before this report."""
        if died:
            self._lose_runs(desk, report, now, out)
        known = [a for a in desk.lost if a.started_at <= report.asked_at]
        if died and known:
            requests = [a.request for a in known]
            self.node.crashes.server_died(desk.server.name, requests, now, out)
        for attempt in known:
            desk.lost.remove(attempt)
            self._fire(attempt, "resolved", now, out)

    def _lose_runs(self, desk, report, now, out):
        """Give up the runs of an earlier life of the backend server."""
        for attempt in [a for a in desk.runs.values() if a.started_at <= report.asked_at]:
            reason = f"backend server {desk.server.name} restarted or is not reached"
            attempt.failure = Failure(ErrorKind.SERVER_LOST, reason)
            out.emit(CancelOnServer(attempt.run_id))
            self._fire(attempt, "server_lost", now, out)

    def _refuse_all(self, desk, now, out):
        for attempt in list(desk.queue):
            reason = f"backend server {desk.server.name} is {desk.state}"
            attempt.failure = Failure(ErrorKind.SERVER_REFUSED, reason)
            self._fire(attempt, "refused", now, out)

    # Scheduling

    def _find_desk(self, name, now):
        desk = self.desks.get(name)
        if desk is None:
            server = self.node.ownership.find_server(name)
            if server is not None:
                settings = self.node.settings
                desk = ServerDesk(
                    server,
                    self.server_chart.initial,
                    self.make_queue(settings),
                )
                self.desks[name] = desk
        return desk

    def _pump(self, desk, now, out):
        """Start the runs and loads that are possible now."""
        desk.load_wanted = None
        if not len(desk.queue) or not self.server_chart.has_tag(desk, "accepting"):
            return
        if self._is_waking(now) or self.node.ownership.may_run(desk.server.name, now) is not None:
            return
        while len(desk.runs) < desk.server.concurrency:
            attempt = desk.queue.pop(lambda a: self._is_ready(a, now))
            if attempt is None:
                break
            self._start(attempt, now, out)
        self.loads.order_loads(desk, now, out)

    def _is_waking(self, now):
        """Return whether the process was paused and has not read the VM list since.

        A node that woke after 10 s gave work to a backend server that had begun to leave.
        """
        woke_at = self.node.woke_at
        return now - woke_at < WAKE_LIMIT_S and self.vms_read_at < woke_at

    def _is_ready(self, attempt, now):
        desk = attempt.desk
        if attempt.model and not self.loads.is_usable(desk, attempt.model):
            return False
        running = [a.request for a in desk.runs.values()]
        return self.node.crashes.may_start(attempt.request, running, now)

    def _start(self, attempt, now, out):
        desk = attempt.desk
        attempt.started_at = now
        self.node.crashes.begin_run(attempt.request, now)
        if attempt.waited_for_load:
            attempt.load_wait_s = now - attempt.queued_at
        if attempt.model:
            desk.adapters[attempt.model].use.count(now)
        desk.runs[attempt.run_id] = attempt
        self.runs[attempt.run_id] = attempt
        self._fire(attempt, "started", now, out)
        forward = attempt.forward
        out.emit(
            RunOnServer(attempt.run_id, desk.server, attempt.model, attempt.request, forward.prefix)
        )

    # Actions of the charts

    def leave_queue(self, attempt, now, out):
        """Take an attempt out of the queue."""
        attempt.desk.queue.remove(attempt)

    def leave_server(self, attempt, now, out, status=200):
        """Take a run off its backend server."""
        del self.runs[attempt.run_id]
        del attempt.desk.runs[attempt.run_id]

    def cancel_run(self, attempt, now, out):
        """Cancel a run on its backend server."""
        self.loads.note_unsettled(attempt.desk, attempt.model, now)
        out.emit(CancelOnServer(attempt.run_id))

    def await_report(self, attempt, now, out):
        """Keep a lost run until a report says whether the backend server died."""
        attempt.desk.lost.append(attempt)
        self.loads.note_unsettled(attempt.desk, attempt.model, now)
        self.server_chart.fire(attempt.desk, "connection_lost")

    def send_failure(self, attempt, now, out):
        """Tell the entry node that the attempt failed."""
        if attempt in attempt.desk.lost:
            attempt.desk.lost.remove(attempt)
        self._end(attempt, now, out, failure=attempt.failure)

    def send_end(self, attempt, now, out, status=200):
        """Tell the entry node that the attempt is complete."""
        self.node.crashes.succeeded(attempt.request, now, out)
        self._end(attempt, now, out, status=status)

    def send_queue_deadline(self, attempt, now, out):
        """Tell the entry node that the deadline passed before the run."""
        failure = Failure(ErrorKind.DEADLINE_IN_QUEUE, "the deadline passed in the queue")
        self._end(attempt, now, out, failure=failure)

    def send_run_deadline(self, attempt, now, out):
        """Tell the entry node that the deadline passed during the run."""
        failure = Failure(ErrorKind.DEADLINE_RUNNING, "the deadline passed during the run")
        self._end(attempt, now, out, failure=failure)

    def _end(self, attempt, now, out, failure=None, status=200):
        self._forget(attempt)
        self.replies.end_attempt(attempt, now, out, failure, status)

    # What other components ask

    def summaries(self, now):
        """Return the `ServerSummary` of each backend server that this node manages."""
        names = [s.name for s in self.node.ownership.managed(now)]
        desks = [self.desks[n] for n in names if n in self.desks]
        return [d.summarize(self.loads.chart, self._accepts(d)) for d in desks]

    def _accepts(self, desk):
        return self.server_chart.has_tag(desk, "accepting")

    def foreign_runs(self, owner):
        """Return the runs on backend servers that another node owns."""
        return [
            count
            for desk in self.desks.values()
            if not self.node.ownership.is_owner(desk.server.name)
            for count in desk.model_counts()
        ]

    def runs_on(self, server):
        """Return a list of `ModelCount` of the runs on `server`."""
        desk = self.desks.get(server)
        return desk.model_counts() if desk is not None else []

    def orders_in_flight(self, servers):
        """Return whether an unload order to one of `servers` has no result yet."""
        desks = [self.desks[n] for n in servers if n in self.desks]
        return any(self.loads.orders_in_flight(d) for d in desks)

    def report_for(self, server):
        """Return the last good `EngineReport` of `server`, or None."""
        desk = self.desks.get(server)
        return desk.report if desk is not None else None

    def drain(self, server, draining, now, out):
        """Stop or resume giving new work to `server`."""
        desk = self._find_desk(server, now)
        if desk is None:
            return
        # The VM list must not take back what an operator ordered.
        draining = draining or self.node.catalog.is_drained(server)
        if self.server_chart.fire(desk, "drain" if draining else "undrain"):
            self._refuse_all(desk, now, out)

    def open_count(self):
        """Return the number of attempts that wait, run or await a report."""
        return len(self.waiting)

    # Time

    def next_deadline(self):
        """Return the time of the next scan or load."""
        return min(self.next_scan, self.loads.retry_at)

    def tick(self, now, out):
        """Poll backend servers, enforce deadlines, and start what has become possible."""
        if now >= self.loads.retry_at:
            self.loads.retry_at = float("inf")
            for desk in self.desks.values():
                if desk.load_wanted is not None:
                    self._pump(desk, now, out)
        if now >= self.next_scan:
            self._scan(now, out)

    def _scan(self, now, out):
        self.next_scan = now + SCAN_INTERVAL_S
        self.seen.forget_old(now)
        managed = {s.name for s in self.node.ownership.managed(now)}
        for name in managed:
            self._find_desk(name, now)
        self._update_share(managed)
        for attempt in list(self.waiting.values()):
            self._check_time(attempt, now, out)
        for desk in self.desks.values():
            in_use = desk.server.name in managed or desk.is_open()
            if in_use and now - desk.polled_at >= self.node.settings.poll_interval_s:
                self._poll(desk, now, out)
            if desk.server.name not in managed:
                self._refuse_unmanaged(desk, now, out)
            self._pump(desk, now, out)

    def _update_share(self, managed):
        engines = sum(not self.desks[n].server.service for n in managed)
        self.loads.share = engines / max(1, self.node.ownership.count_engines(), engines)

    def _check_time(self, attempt, now, out):
        if now >= attempt.deadline:
            self._fire(attempt, "deadline", now, out)
        elif self.attempt_chart.has_tag(attempt, "queued"):
            attempt.failure = self._find_hopeless(attempt, now)
            if attempt.failure is not None:
                self._fire(attempt, "refused", now, out)

    def _find_hopeless(self, attempt, now):
        """Return the `Failure` of a waiting attempt that will not run here, else None."""
        stalled = attempt.waited_for_load and now - attempt.queued_at > STALL_LIMIT_S
        if stalled and not self._has_slot(attempt):
            reason = f"no slot for {attempt.model} on {attempt.desk.server.name}"
            return Failure(ErrorKind.LOAD_FAILED, reason)
        failure = self.node.crashes.check(attempt.request, now)
        if failure is None and attempt.model:
            failure = self.node.catalog.check(attempt.model, now)
        return failure

    def _has_slot(self, attempt):
        adapter = attempt.desk.adapters.get(attempt.model)
        return adapter is not None and self.loads.chart.has_tag(adapter, "slot")

    def _refuse_unmanaged(self, desk, now, out):
        for attempt in list(desk.queue):
            reason = f"this node no longer manages {desk.server.name}"
            attempt.failure = Failure(ErrorKind.NOT_OWNER, reason, RunState.NOT_RUN)
            self._fire(attempt, "refused", now, out)

    def _poll(self, desk, now, out):
        desk.polled_at = now
        out.emit(PollServer(desk.server, now))
