"""Headers that are passed on, kept back, and set by the system."""

from math import inf

import pytest
from multidict import CIMultiDict

from medlarbeam.classes.fleet import AdapterKey
from medlarbeam.classes.gateway_effects import StartFleetRun
from medlarbeam.gateway.tests.fleet_samples import make_server
from medlarbeam.platform.headers import (
    forwarded_headers,
    read_adapter_key,
    read_deadline_s,
    read_load,
    read_tokens,
    run_headers,
)

PASSED = [
    ("identity-of-the-attempt", "X-Attempt-Id", True),
    ("prompt", "X-Prompt-Prefix", True),
    ("content-type", "Content-Type", True),
    ("hold-of-another-request", "X-Hold", False),
    ("pin", "X-Pin-Ms", False),
    ("memory-of-another-request", "Kv-From", False),
    ("backup", "X-Kv-Backup", False),
    ("forged-priority", "X-Request-Priority", False),
    ("forged-instance", "X-Expect-Instance", False),
    ("length-of-the-body", "Content-Length", False),
    ("transfer-coding", "Transfer-Encoding", False),
    ("connection", "Connection", False),
    ("header-that-the-connection-names", "X-One-Hop", False),
]


@pytest.mark.parametrize(("name", "is_passed"), [p[1:] for p in PASSED], ids=[p[0] for p in PASSED])
def test_caller_header(name, is_passed):
    headers = CIMultiDict({"Connection": "close, X-One-Hop", name: "close, X-One-Hop"})
    assert (name in dict(forwarded_headers(headers))) is is_passed


RUNS = [
    ("deadline-is-what-is-left", 3.25, 0, "X-Deadline-Ms", "1250"),
    ("deadline-that-has-passed-is-not-negative", 1.0, 0, "X-Deadline-Ms", "1"),
    ("instance-is-named", 3.0, 0, "X-Expect-Instance", "w1"),
    ("version-is-named", 3.0, 0, "X-Expect-Version", "6"),
    ("resumed-run-names-the-last-event", 3.0, 9, "Last-Event-Id", "9"),
    ("first-run-keeps-the-caller-s-event", 3.0, 0, "Last-Event-Id", "4"),
]


@pytest.mark.parametrize(
    ("deadline", "last_event", "name", "value"), [r[1:] for r in RUNS], ids=[r[0] for r in RUNS]
)
def test_headers_of_a_run(deadline, last_event, name, value):
    effect = StartFleetRun(
        "r", "q", make_server("w1", "llm"), deadline, 0, 6, True, False, inf, inf
    )
    headers = run_headers([("Last-Event-Id", "4")], effect, last_event, 2.0)
    assert [v for n, v in headers if n == name] == [value]


READ = [
    ("model-and-adapter", read_adapter_key, {"X-Model": "m0/a3"}, AdapterKey("m0", "a3")),
    ("model-alone", read_adapter_key, {"X-Model": "m0"}, AdapterKey("m0", "")),
    ("no-model", read_adapter_key, {}, None),
    ("deadline", read_deadline_s, {"X-Deadline-Ms": "1500"}, 1.5),
    ("deadline-that-is-no-number", read_deadline_s, {"X-Deadline-Ms": "soon"}, inf),
    ("tokens", read_tokens, {"X-Token-Usage": "1460,80"}, 1540),
    ("tokens-that-are-no-numbers", read_tokens, {"X-Token-Usage": "-5,x"}, 0),
    ("load-that-is-incomplete", read_load, {"X-Server-Load": "1,2"}, None),
]


@pytest.mark.parametrize(
    ("read", "headers", "expected"), [r[1:] for r in READ], ids=[r[0] for r in READ]
)
def test_header_is_read(read, headers, expected):
    assert read(CIMultiDict(headers)) == expected
