"""Headers that are forwarded, removed, set by the gateway or parsed.

Guards against callers that forge the headers by which the gateway controls backend servers, and
against malformed headers that raise an exception.
"""

from math import inf

import pytest
from multidict import CIMultiDict

from medlarbeam.algorithms.caller_access import digest_key
from medlarbeam.classes.fleet import AdapterKey, SoftwareVersion
from medlarbeam.classes.gateway_effects import ServerLoad, StartFleetRun
from medlarbeam.classes.organisations import CallerCredential
from medlarbeam.gateway.tests.fleet_samples import make_server
from medlarbeam.platform.headers import (
    answer_headers,
    find_token_problem,
    forwarded_headers,
    parse_adapter_key,
    parse_config_version,
    parse_counted,
    parse_credential,
    parse_deadline_s,
    parse_last_event,
    parse_leaving,
    parse_load,
    parse_origin,
    parse_pause,
    parse_prompt_tokens,
    parse_shared_parts,
    parse_tokens,
    response_headers,
    run_headers,
)

CALLER_HEADERS = [
    ("attempt-id", "X-Attempt-Id", True),
    ("prompt", "X-Prompt-Prefix", True),
    ("content-type", "Content-Type", True),
    ("forged-hold", "X-Hold", False),
    ("forged-pin", "X-Pin-Ms", False),
    ("forged-kv-source", "Kv-From", False),
    ("forged-kv-backup", "X-Kv-Backup", False),
    ("forged-priority", "X-Request-Priority", False),
    ("forged-instance", "X-Expect-Instance", False),
    ("content-length", "Content-Length", False),
    ("transfer-encoding", "Transfer-Encoding", False),
    ("connection", "Connection", False),
    ("forged-origin", "Medlarbeam-Origin", False),
    ("forged-header-of-a-later-build", "Medlarbeam-Later", False),
    ("forged-organisation", "X-Tenant", False),
    ("key", "X-Key", False),
    ("header-that-the-protocol-does-not-name", "X-Other", True),
    ("header-listed-in-connection", "X-One-Hop", False),
]


@pytest.mark.parametrize(
    ("name", "is_passed"), [p[1:] for p in CALLER_HEADERS], ids=[p[0] for p in CALLER_HEADERS]
)
def test_caller_header_is_forwarded_or_removed(name, is_passed):
    headers = CIMultiDict({"Connection": "close, X-One-Hop", name: "close, X-One-Hop"})
    assert (name in dict(forwarded_headers(headers))) is is_passed


RUN_HEADERS = [
    ("deadline-is-the-remaining-time", 3.25, 0, "X-Deadline-Ms", "1250"),
    ("past-deadline-is-not-negative", 1.0, 0, "X-Deadline-Ms", "1"),
    ("expected-instance", 3.0, 0, "X-Expect-Instance", "w1"),
    ("expected-version", 3.0, 0, "X-Expect-Version", "6"),
    ("resumed-run-sends-the-last-event-id", 3.0, 9, "Last-Event-Id", "9"),
    ("first-run-forwards-the-caller-s-last-event-id", 3.0, 0, "Last-Event-Id", "4"),
]


@pytest.mark.parametrize(
    ("deadline", "last_event", "name", "value"),
    [r[1:] for r in RUN_HEADERS],
    ids=[r[0] for r in RUN_HEADERS],
)
def test_run_header(deadline, last_event, name, value):
    effect = StartFleetRun(
        "r", "q", make_server("w1", "llm"), deadline, 0, 6, True, False, inf, inf
    )
    headers = run_headers([("Last-Event-Id", "4")], effect, last_event, 2.0)
    assert [v for n, v in headers if n == name] == [value]


DIGEST = digest_key("key")
STATED = {"Medlarbeam-Config": "9", "Connection": "Medlarbeam-Runs, Medlarbeam-Config"}
# Headers of a request, whether another node forwards it, digests of keys, and the version stated.
CREDENTIALS = [
    ("caller", {"X-Key": "key"}, False, (DIGEST,), None),
    ("caller-without-a-key", {}, False, (), None),
    (
        "caller-that-forges-a-digest",
        {"Medlarbeam-Key-Digest": DIGEST, "Medlarbeam-Config": "9"},
        False,
        (),
        None,
    ),
    ("node", {"Medlarbeam-Key-Digest": DIGEST, **STATED}, True, (DIGEST,), 9),
    ("node-on-a-public-route", STATED, True, (), 9),
    ("node-of-an-earlier-build", {"X-Key": "key"}, True, (DIGEST,), None),
    (
        "digest-that-a-caller-of-an-earlier-build-has-forged",
        {"X-Key": "key", "Medlarbeam-Config": "9", "Medlarbeam-Key-Digest": "0"},
        True,
        (DIGEST,),
        None,
    ),
    ("version-that-is-no-number", {**STATED, "Medlarbeam-Config": "x"}, True, (), 0),
]


@pytest.mark.parametrize(
    ("headers", "is_from_node", "digests", "version"),
    [c[1:] for c in CREDENTIALS],
    ids=[c[0] for c in CREDENTIALS],
)
def test_credential_of_a_request(headers, is_from_node, digests, version):
    credential = parse_credential(CIMultiDict(headers), is_from_node)
    assert credential == CallerCredential(digests, version)


COUNTED = {"Medlarbeam-Counted": "1"}


@pytest.mark.parametrize(
    ("headers", "is_counted"),
    [
        pytest.param({**COUNTED, "Connection": "Medlarbeam-Counted"}, True, id="node"),
        pytest.param(COUNTED, False, id="caller-of-an-earlier-build-has-forged-it"),
        pytest.param({"Connection": "Medlarbeam-Counted"}, False, id="node-of-an-earlier-build"),
    ],
)
def test_forwarded_request_states_that_it_was_counted(headers, is_counted):
    assert parse_counted(CIMultiDict(headers)) is is_counted


@pytest.mark.parametrize(
    ("value", "is_readable"),
    [
        ("1460,80", True),
        (" 1460 , 80 ", True),
        ("-5,80", False),
        ("many,80", False),
        ("1" + 30 * "0" + ",1", False),
        ("1,2,3", False),
        ("5", False),
        ("", False),
    ],
)
def test_token_count_that_cannot_be_read_is_named(value, is_readable):
    problem = find_token_problem(CIMultiDict({"X-Token-Usage": value}))
    assert (problem == "") is is_readable
    assert find_token_problem(CIMultiDict()) == ""


def test_node_of_an_earlier_build_passes_on_the_organisation_and_no_digest():
    effect = StartFleetRun(
        "r", "q", make_server("n2", "llm"), 3.0, 0, 0, False, True, inf, inf, forwarded_runs=0
    )
    effect.organisation, effect.credential = "acme", CallerCredential((DIGEST,), 9)
    headers = CIMultiDict(run_headers(forwarded_headers(CALLER_WITH_KEY), effect, 0, 2.0))
    assert headers["X-Expect-Instance"] == "n2"  # refused by a backend server at that address
    options = {option.strip().lower() for option in headers["Connection"].split(",")}
    kept = {n: v for n, v in headers.items() if n.lower() not in options | EARLIER_INTERNAL_HEADERS}
    assert kept == {"X-Attempt-Id": "id-1", "X-Tenant": "acme"}


CALLER_WITH_KEY = CIMultiDict({"X-Attempt-Id": "id-1", "X-Key": "key", "X-Tenant": "bolt"})
# What a gateway of the build c56242d removes from a request that another one forwards.
EARLIER_INTERNAL_HEADERS = {
    "connection",
    "medlarbeam-origin",
    "medlarbeam-runs",
    "x-deadline-ms",
    "x-expect-instance",
    "x-request-priority",
}


ORIGINS = [
    ("plain-names", SoftwareVersion("llm", "v1")),
    ("names-with-separators", SoftwareVersion("a/b", "1.0/2, close")),
    ("names-that-are-not-ascii", SoftwareVersion("kebun-ä", "v1\r\nX: 1")),
    ("no-version", SoftwareVersion("llm", "")),
]


@pytest.mark.parametrize("version", [o[1] for o in ORIGINS], ids=[o[0] for o in ORIGINS])
def test_origin_of_a_stream_reaches_other_nodes_only(version):
    # A node of an earlier build removes the header, as its connection option asks for.
    headers = CIMultiDict(answer_headers(7, version))
    assert parse_config_version(headers) == 7
    assert parse_origin(headers) == version
    assert all(value.isascii() and value.isprintable() for value in headers.values())
    assert forwarded_headers(headers) == response_headers(headers) == []
    renamed = CIMultiDict([("X-Later", headers["Medlarbeam-Origin"]), ("Connection", "X-Later")])
    assert forwarded_headers(renamed) == response_headers(renamed) == []


PARSED_HEADERS = [
    ("no-origin", parse_origin, {}, None),
    ("origin-without-a-service", parse_origin, {"Medlarbeam-Origin": "/v1"}, None),
    ("origin-that-is-too-long", parse_origin, {"Medlarbeam-Origin": "a/" + "v" * 2000}, None),
    ("model-and-adapter", parse_adapter_key, {"X-Model": "m0/a3"}, AdapterKey("m0", "a3")),
    ("model-alone", parse_adapter_key, {"X-Model": "m0"}, AdapterKey("m0", "")),
    ("no-model", parse_adapter_key, {}, None),
    ("model-not-utf-8", parse_adapter_key, {"X-Model": "m0/\udcff"}, AdapterKey("m0", "\ufffd")),
    ("deadline", parse_deadline_s, {"X-Deadline-Ms": "1500"}, 1.5),
    ("deadline-is-not-a-number", parse_deadline_s, {"X-Deadline-Ms": "soon"}, inf),
    ("tokens", parse_tokens, {"X-Token-Usage": "1460,80"}, 1540),
    ("tokens-are-not-numbers", parse_tokens, {"X-Token-Usage": "-5,x"}, 0),
    ("prompt-tokens-without-the-output", parse_prompt_tokens, {"X-Token-Usage": "1460,80"}, 1460),
    ("no-prompt-tokens", parse_prompt_tokens, {}, 0),
    ("negative-prompt-tokens", parse_prompt_tokens, {"X-Token-Usage": "-1460,80"}, 0),
    # Python converts no text of more than 4,300 digits to an integer.
    ("prompt-tokens-of-5000-digits", parse_prompt_tokens, {"X-Token-Usage": "9" * 5000}, 0),
    ("tokens-of-5000-digits", parse_tokens, {"X-Token-Usage": "9" * 5000}, 0),
    ("deadline-of-5000-digits", parse_deadline_s, {"X-Deadline-Ms": "9" * 5000}, inf),
    ("last-event-of-5000-digits", parse_last_event, {"Last-Event-Id": "9" * 5000}, 0),
    ("last-event", parse_last_event, {"Last-Event-Id": "12"}, 12),
    (
        "load-of-5000-digits",
        parse_load,
        {"X-Server-Load": "1,2," + "9" * 5000},
        ServerLoad(1, 2, 0),
    ),
    (
        "load-with-the-speed-of-the-machine",
        parse_load,
        {"X-Server-Load": "1,2,8,140"},
        ServerLoad(1, 2, 8),
    ),
    ("load-with-too-many-figures", parse_load, {"X-Server-Load": "1,2,8,140,3"}, None),
    ("incomplete-load", parse_load, {"X-Server-Load": "1,2"}, None),
    ("rate-limit-alone", parse_load, {"Server-Limit": "4.6"}, ServerLoad(0, 0, 0, 4.6)),
    (
        "load-and-rate-limit",
        parse_load,
        {"X-Server-Load": "1,2,8", "Server-Limit": "0.5"},
        ServerLoad(1, 2, 8, 0.5),
    ),
    (
        "refusal-limit-alone",
        parse_load,
        {"Server-Brittle": "0"},
        ServerLoad(0, 0, 0, None, 0),
    ),
    ("refusal-limit-is-not-a-number", parse_load, {"Server-Brittle": "-3"}, None),
    ("rate-limit-is-not-a-number", parse_load, {"Server-Limit": "nan"}, None),
    ("leaving", parse_leaving, {"server-leaving": " 1 "}, " 1 "),
    ("not-leaving", parse_leaving, {}, ""),
    ("leaving-of-another-value", parse_leaving, {"Server-Leaving": "0"}, ""),
    ("leaving-that-is-empty", parse_leaving, {"Server-Leaving": ""}, ""),
    ("leaving-that-only-contains-the-digit", parse_leaving, {"Server-Leaving": "10"}, ""),
    ("leaving-twice", parse_leaving, [("Server-Leaving", "1"), ("Server-Leaving", "1")], "1,1"),
    ("leaving-listed-with-another-value", parse_leaving, {"Server-Leaving": "0, 1"}, "0, 1"),
]


@pytest.mark.parametrize(
    ("parse", "headers", "expected"),
    [r[1:] for r in PARSED_HEADERS],
    ids=[r[0] for r in PARSED_HEADERS],
)
def test_header_is_parsed(parse, headers, expected):
    assert parse(CIMultiDict(headers)) == expected


PROMPT_PREFIXES = [
    (
        "own-part-of-the-request-is-not-shared",
        {"X-Prompt-Prefix": "5C1e:8, 91bd:4,e4:2"},
        "5c1e 91bd",
    ),
    ("single-part-is-not-shared", {"X-Prompt-Prefix": "5c1e:8"}, ""),
    ("request-without-parts", {}, ""),
    ("malformed-parts", {"X-Prompt-Prefix": ",,"}, ""),
    ("id-that-is-no-number", {"X-Prompt-Prefix": "a/b:8,e4:2"}, "x48f71e9475860604"),
]


@pytest.mark.parametrize(
    ("headers", "expected"), [p[1:] for p in PROMPT_PREFIXES], ids=[p[0] for p in PROMPT_PREFIXES]
)
def test_shared_parts_of_a_prompt(headers, expected):
    assert parse_shared_parts(CIMultiDict(headers)) == tuple(expected.split())


PAUSES = [
    ("whole-seconds", ["2"], 2.0),
    ("fraction-of-a-second", ["0.35"], 0.35),
    ("fraction-without-a-digit-before-it", [".5"], 0.5),
    ("space-around-the-value", [" 1.5 "], 1.5),
    ("zero", ["0"], 0.0),
    ("huge-value", ["9" * 30], 1e30),
    ("thousands-of-digits-raise-nothing", ["9" * 5000], inf),
    ("date", ["Wed, 21 Oct 2026 07:28:00 GMT"], None),
    ("negative", ["-1"], None),
    ("empty", [""], None),
    ("not-a-number", ["nan"], None),
    ("infinity-by-name", ["inf"], None),
    ("exponent", ["1e3"], None),
    ("digits-of-another-script", ["\u0662"], None),
    ("words", ["soon"], None),
    ("unit", ["2s"], None),
    ("two-values-in-one-line", ["2, 3"], None),
    ("header-twice", ["2", "3"], None),
    ("header-twice-with-one-value", ["2", "2"], None),
]


@pytest.mark.parametrize(("values", "pause_s"), [p[1:] for p in PAUSES], ids=[p[0] for p in PAUSES])
def test_pause_is_parsed(values, pause_s):
    pause = parse_pause(CIMultiDict([("Retry-After", value) for value in values]), "id-1", "w1")
    assert pause.pause_s == (pytest.approx(pause_s) if pause_s is not None else None)
    assert bool(pause.problem) is (pause_s is None)
    assert len(pause.text) <= 250 and pause.text.isascii()


SOURCES = [
    ("no-header", {}, None, False),
    ("own-request", {"X-Attempt-Id": "id-1"}, 2.0, True),
    ("response-to-an-earlier-request", {"X-Attempt-Id": "id-0"}, None, True),
    ("own-instance", {"X-Instance-Id": "w1"}, 2.0, True),
    ("other-server-at-the-address", {"X-Instance-Id": "w2"}, None, True),
]


@pytest.mark.parametrize(
    ("headers", "pause_s", "is_named"), [s[1:] for s in SOURCES], ids=[s[0] for s in SOURCES]
)
def test_pause_counts_only_from_the_server_that_was_asked(headers, pause_s, is_named):
    fields = CIMultiDict({"Retry-After": "2", **headers} if is_named else headers)
    pause = parse_pause(fields, "id-1", "w1")
    assert (pause.pause_s if pause is not None else None) == pause_s
    assert (pause is not None) is is_named


PASSED = [
    ("time-of-one-server-is-not-that-of-the-service", 503, False),
    ("time-in-an-error-of-a-run", 500, False),
    ("time-that-concerns-the-caller-s-own-request", 409, True),
]


@pytest.mark.parametrize(
    ("status", "is_passed"), [p[1:] for p in PASSED], ids=[p[0] for p in PASSED]
)
def test_retry_after_of_a_server_is_passed_on_only_where_true(status, is_passed):
    headers = CIMultiDict({"Retry-After": "2"})
    assert bool(response_headers(headers, status)) is is_passed
