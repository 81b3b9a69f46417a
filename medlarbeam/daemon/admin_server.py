"""HTTP server of the admin API for operators."""

import asyncio
import re
from hmac import compare_digest

from aiohttp.web import Application, Response, route
from orjson import OPT_INDENT_2, dumps

from medlarbeam.classes.effects import OperatorResponse
from medlarbeam.classes.messages import OperatorRequest
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.daemon.http_server import read_body, render_http_errors, serve_app
from medlarbeam.daemon.request_parser import MAX_BODY_BYTES, get_header
from medlarbeam.exceptions import ERROR_RESPONSES, ErrorKind, Failure, FormatError

__all__ = ["AdminServer"]

# An operation needs a few calls to the key-value service, each retried once or twice.
RESPONSE_TIMEOUT_S = 30.0
NOTE_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
PATH_PREFIX = "/admin/v1"


class AdminServer(EffectHandlerService):
    """Converts operators' HTTP requests to `OperatorRequest` and writes the responses.

    Parameters
    ----------
    driver : NodeDriver
    settings : DaemonSettings
    parse_note : callable
        ``(bytes, note id, operator) -> ReleaseNote``, raises FormatError.
    """

    def __init__(self, driver, settings, parse_note):
        super().__init__(driver)
        self.settings = settings
        self.parse_note = parse_note
        self.request_counter = 0
        self.pending_answers = {}
        self.runner = None

    async def on_start(self):
        """Start to listen on the admin address, if it differs from the address for callers."""
        if self.settings.admin_listen is not None:
            app = Application(client_max_size=MAX_BODY_BYTES, middlewares=[render_http_errors])
            app.add_routes(self.routes())
            self.runner = await serve_app(app, self.settings.admin_listen)

    async def on_stop(self):
        """Stop listening and close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    def effects(self):
        """Return the handler of `OperatorResponse`."""
        return {OperatorResponse: self._resolve_answer}

    def routes(self):
        """Return the routes of the admin API."""
        return [
            route("POST", f"{PATH_PREFIX}/notes", self.handle_note),
            self._route("GET", "notes", "list_notes"),
            self._route("GET", "notes/{subject}", "show_note"),
            self._route("GET", "status", "status"),
            self._route("POST", "servers/{subject}/drain", "drain"),
            self._route("POST", "servers/{subject}/undrain", "undrain"),
            self._route("GET", "audit", "audit"),
        ]

    def _route(self, method, path, action):
        async def handle(http_request):
            subject = http_request.match_info.get("subject", "")
            return await self._forward(http_request, action, subject)

        return route(method, f"{PATH_PREFIX}/{path}", handle)

    async def handle_note(self, http_request):
        """Handle ``POST notes``: apply a release note, or only validate it with ``?dry_run=1``."""
        failure = self._check_secret(http_request)
        if failure is not None:
            return build_response(failure, {})
        try:
            dry_run = parse_dry_run(http_request.query)
            note_id = parse_note_id(http_request.headers)
            operator = parse_operator(http_request.headers)
            note = self.parse_note(await read_body(http_request), note_id, operator)
        except FormatError as error:
            return build_response(Failure(ErrorKind.NOTE_INVALID, str(error)), {})
        action = "dry_run_note" if dry_run else "apply_note"
        return await self._forward(http_request, action, note.note_id, note)

    def _check_secret(self, http_request):
        credentials = http_request.headers.get("Authorization", "").encode("utf-8", "replace")
        if compare_digest(credentials, b"Bearer " + self.settings.operator_secret):
            return None
        reason = "header Authorization: expected Bearer with the operator secret"
        return Failure(ErrorKind.NOT_AUTHORIZED, reason)

    async def _forward(self, http_request, action, subject, note=None):
        failure = self._check_secret(http_request)
        if failure is not None:
            return build_response(failure, {})
        try:
            operator = parse_operator(http_request.headers)
        except FormatError as error:
            return build_response(Failure(ErrorKind.INVALID_REQUEST, str(error)), {})
        self.request_counter += 1
        node = self.settings.node
        op_id = f"{node.name}-{node.incarnation}-op-{self.request_counter}"
        future = self.pending_answers[op_id] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                wall_time_s = self.driver.read_wall_clock()
                self.driver.deliver(
                    OperatorRequest(op_id, operator, action, subject, note, wall_time_s)
                )
                effect = await future
            return build_response(effect.failure, effect.document)
        except TimeoutError:
            reason = f"no result within {RESPONSE_TIMEOUT_S:g} s; the operation may have run"
            return build_response(Failure(ErrorKind.INTERNAL, reason), {})
        finally:
            del self.pending_answers[op_id]

    def _resolve_answer(self, effect):
        future = self.pending_answers.get(effect.op_id)
        if future is not None and not future.done():
            future.set_result(effect)


def parse_operator(headers):
    """Return the name of the operator for the audit log."""
    return get_header(headers, "X-Operator") or "unnamed"


def parse_note_id(headers):
    """Return the id of a note.

    The operator's tool generates it, so that a repeated request is recognized.
    """
    note_id = get_header(headers, "X-Note-Id")
    if not NOTE_ID_PATTERN.fullmatch(note_id):
        raise FormatError("header X-Note-Id: expected 1 to 128 letters, digits, '.', '_' or '-'")
    return note_id


def parse_dry_run(query):
    """Return whether the query requests a dry run.

    Unknown parameters are rejected, because a misspelt one would apply the note.
    """
    unknown = sorted(set(query) - {"dry_run"})
    if unknown:
        raise FormatError(f"query: unknown parameters {', '.join(unknown)}")
    value = query.get("dry_run", "0")
    if value not in ("0", "1"):
        raise FormatError("query: expected dry_run=0 or dry_run=1")
    return value == "1"


def build_response(failure, document):
    """Return the HTTP response to an operator's request."""
    status = 200
    if failure is not None:
        status = ERROR_RESPONSES[failure.kind].status
        error = {
            "kind": failure.kind.value,
            "reason": failure.reason,
            "run_state": failure.run_state.value,
        }
        document = {**document, "error": error}
    body = dumps(document, option=OPT_INDENT_2)
    return Response(status=status, body=body, content_type="application/json")
