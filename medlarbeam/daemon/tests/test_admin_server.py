import json

import pytest
from aiohttp import ClientSession
from daemon_support import OPERATOR_SECRET, RecordingDriver, find_free_port, make_settings, run

from medlarbeam.classes.catalog import ReleaseNote
from medlarbeam.classes.effects import OperatorResponse
from medlarbeam.classes.messages import OperatorRequest
from medlarbeam.daemon.admin_server import AdminServer
from medlarbeam.daemon.http_server import HttpServer
from medlarbeam.daemon.metrics import Metrics
from medlarbeam.exceptions import ErrorKind, Failure, FormatError

BEARER = {"Authorization": f"Bearer {OPERATOR_SECRET}", "X-Note-Id": "n-1"}
NOTE = ReleaseNote("n-1", "ana", [])


def parse_note(data, note_id, operator):
    if data != b"note":
        raise FormatError("line 1: not a note")
    return ReleaseNote(note_id, operator, [])


async def send_request(method, path, headers, body=b"", failure=None, own_address=False):
    """Send a request to the admin API; return ``(status, document, messages)``."""
    driver = RecordingDriver()
    port = find_free_port()
    settings = make_settings(admin_listen=f"127.0.0.1:{port}" if own_address else "")
    admin = AdminServer(driver, settings, parse_note)
    routes = [] if own_address else admin.routes()
    http = HttpServer(driver, settings, Metrics(), routes)
    resolve_answer = admin.effects()[OperatorResponse]
    driver.script = lambda m: resolve_answer(OperatorResponse(m.op_id, failure, {"done": m.action}))
    await admin.start()
    await http.start()
    url = f"http://127.0.0.1:{port if own_address else settings.http_listen.port}/admin/v1/{path}"
    async with ClientSession() as session:
        async with session.request(method, url, headers=headers, data=body) as response:
            document = json.loads(await response.read())
    await http.stop()
    await admin.stop()
    return response.status, document, driver.messages


ACTIONS = [
    ("POST", "notes", b"note", "apply_note", "n-1", NOTE),
    ("POST", "notes?dry_run=1", b"note", "dry_run_note", "n-1", NOTE),
    ("POST", "notes?dry_run=0", b"note", "apply_note", "n-1", NOTE),
    ("GET", "notes", b"", "list_notes", "", None),
    ("GET", "notes/n-1", b"", "show_note", "n-1", None),
    ("GET", "status", b"", "status", "", None),
    ("POST", "servers/b1/drain", b"", "drain", "b1", None),
    ("POST", "servers/b1/undrain", b"", "undrain", "b1", None),
    ("GET", "audit", b"", "audit", "", None),
]


@pytest.mark.parametrize(
    "method, path, body, action, subject, note", ACTIONS, ids=[f"{a[0]}-{a[1]}" for a in ACTIONS]
)
@pytest.mark.parametrize("own_address", [False, True], ids=["shared-address", "separate-address"])
def test_action_reaches_the_node(method, path, body, action, subject, note, own_address):
    """Guards against a route that is missing or mapped to another action or subject."""
    status, document, messages = run(
        send_request(method, path, BEARER | {"X-Operator": "ana"}, body, own_address=own_address)
    )
    assert (status, document) == (200, {"done": action})
    wall_time_s = RecordingDriver().read_wall_clock()
    expected = OperatorRequest("n1-7-op-1", "ana", action, subject, note, wall_time_s)
    assert messages == [expected]


REFUSALS = [
    ("no-secret", "GET", "status", {}, b"", 401, "not_authorized"),
    ("wrong-secret", "GET", "status", {"Authorization": "Bearer x"}, b"", 401, "not_authorized"),
    ("note-without-secret", "POST", "notes", {}, b"note", 401, "not_authorized"),
    ("malformed-note-applied", "POST", "notes", BEARER, b"x", 400, "note_invalid"),
    ("note-without-id", "POST", "notes", BEARER | {"X-Note-Id": ""}, b"note", 400, "note_invalid"),
    ("path-in-id", "POST", "notes", BEARER | {"X-Note-Id": "../a"}, b"note", 400, "note_invalid"),
    ("bad-operator", "GET", "audit", BEARER | {"X-Operator": "a b"}, b"", 400, "invalid_request"),
    ("misspelt-dry-run-applies", "POST", "notes?dryrun=1", BEARER, b"note", 400, "note_invalid"),
    ("dry-run-true-applies", "POST", "notes?dry_run=true", BEARER, b"note", 400, "note_invalid"),
    ("drain-by-get", "GET", "servers/b1/drain", BEARER, b"", 405, "invalid_request"),
]


@pytest.mark.parametrize(
    "method, path, headers, body, status, kind",
    [r[1:] for r in REFUSALS],
    ids=[r[0] for r in REFUSALS],
)
def test_rejected_request_does_not_reach_the_node(method, path, headers, body, status, kind):
    """Guards against unauthorized or malformed requests that change the state of the cell."""
    actual_status, document, messages = run(send_request(method, path, headers, body))
    assert (actual_status, document["error"]["kind"], messages) == (status, kind, [])


def test_failure_of_the_node_is_returned_with_its_status():
    """Guards against a rejected note that is reported as applied."""
    failure = Failure(ErrorKind.NOTE_CONFLICT, "n-0 came first")
    status, document, _ = run(send_request("POST", "notes", BEARER, b"note", failure))
    assert (status, document["error"]["reason"]) == (409, "n-0 came first")
