"""Reading of what gateways of earlier builds write to the store and send as datagrams.

Guards against a release during which gateways of two builds do not understand one another. The
texts were written by the encoders of the builds 148e90c and 3ec0cf0, whose results are the same.
"""

from base64 import b64encode

import pytest

from medlarbeam.classes.fleet import (
    UNKNOWN_ORIGIN,
    AdapterKey,
    NodeRegistration,
    OrderRight,
    SoftwareVersion,
    StreamReport,
    VersionStreams,
)
from medlarbeam.classes.node_records import Quarantine, SettledEra
from medlarbeam.classes.peer_messages import (
    AdapterDemand,
    AdapterHolding,
    ClearanceReport,
    DeathReport,
    EarlyRefusal,
    HoldingReport,
    LeavingServer,
    LostRun,
    PathReport,
    RateLimitReport,
    ServerRate,
    UseReport,
)
from medlarbeam.platform.documents import decode_entry
from medlarbeam.readwrite.peer_frames import decode_datagram

KEY = AdapterKey("m0", "a7")
BASE = AdapterKey("m0", "")
OLD = SoftwareVersion("llm", "v1")
STREAMS = StreamReport(
    "gw-1",
    [
        VersionStreams(OLD, ["id-1", "id-2"]),
        VersionStreams(SoftwareVersion("llm", "2026.12/ä"), ["id-3"]),
    ],
)
# A gateway of the build 3ec0cf0 takes the unknown origin for a version, and tells others of it.
UNKNOWN_STREAMS = StreamReport("gw-1", [VersionStreams(UNKNOWN_ORIGIN, ["id-1"])])

ENTRIES = [
    (
        "node",
        "medlarbeam/node/gw-1",
        '{"failure_domain":"z1","address":"10.0.0.1:7000","incarnation":1765000000123}',
        NodeRegistration("gw-1", "z1", "10.0.0.1:7000", 1_765_000_000_123),
    ),
    ("right", "medlarbeam/right/i-1", '{"node":"gw-1","era":3}', OrderRight("i-1", "gw-1", 41, 3)),
    (
        "right-that-is-free",
        "medlarbeam/right/i-1",
        '{"node":"","era":3}',
        OrderRight("i-1", "", 41, 3),
    ),
    ("settled-era", "medlarbeam/era", '{"era":3}', SettledEra(3)),
    (
        "quarantine",
        "medlarbeam/quarantine/request:f00d",
        '{"node":"gw-1"}',
        Quarantine("request:f00d", "gw-1"),
    ),
    (
        "software-version",
        "medlarbeam/software/be50a09b2ccfb830",
        '{"service":"llm","software":"v1"}',
        OLD,
    ),
    (
        "software-version-unknown",
        "medlarbeam/software/ba7c86611026c774",
        '{"service":"?","software":""}',
        UNKNOWN_ORIGIN,
    ),
    (
        "streams",
        "medlarbeam/streams/gw-1",
        (
            '{"streams":[{"service":"llm","software":"v1","attempts":["id-1","id-2"'
            ']},{"service":"llm","software":"2026.12/ä","attempts":["id-3"]}]}'
        ),
        STREAMS,
    ),
    (
        "streams-of-unknown-origin",
        "medlarbeam/streams/gw-1",
        '{"streams":[{"service":"?","software":"","attempts":["id-1"]}]}',
        UNKNOWN_STREAMS,
    ),
]


@pytest.mark.parametrize(
    ("key", "text", "expected"), [e[1:] for e in ENTRIES], ids=[e[0] for e in ENTRIES]
)
def test_entry_of_an_earlier_build_is_read(key, text, expected):
    assert decode_entry(key, b64encode(text.encode()).decode(), 41) == expected


DATAGRAMS = [
    (
        "streams",
        (
            "101a5001010117400211052a1105270f67772d31410802410c0211191641240211350e"
            "11052211051a076c6c6d03763111052a11052a0f69642d310f69642d3211052211055a"
            "076c6c6dff323032362e31322f0003c3a411012a0f69642d33"
        ),
        STREAMS,
    ),
    (
        "streams-of-unknown-origin",
        (
            "100f5001010117400211052a1105170f67772d3141040241040211110e11051211050a"
            "013f000011012a0f69642d31"
        ),
        UNKNOWN_STREAMS,
    ),
    (
        "rate-limits",
        (
            "10105001010116400311092a11091f1119170f67772d3151040201c01240c0d03f1101"
            "2207692d31510401013f7b6c50c4a00111012207692d32"
        ),
        RateLimitReport(
            "gw-1", [ServerRate("i-1", 4.5, 0.25)], [LeavingServer("i-2", 1_790_000_000_123)]
        ),
    ),
    (
        "lost-paths",
        "100a5001010118400211052a1105160f67772d3111053a1105223f6c6564676572076c6c6d",
        PathReport("gw-1", ["ledger", "llm"]),
    ),
    (
        "clearances",
        (
            "100c5001010115400211052a1105160f67772d3111056a110952ff726571756573743a"
            "000f66303064ff706172743a356535000165"
        ),
        ClearanceReport("gw-1", ["request:f00d", "part:5e5e"]),
    ),
    (
        "adapter-demand",
        (
            "100e50010101105002030102c0e0bf11092a1109224108020f67772d3107692d311105"
            "1a11051a036d30036137"
        ),
        AdapterDemand("gw-1", "i-1", KEY, 2, -0.5),
    ),
    (
        "holdings",
        (
            "101a500101011150040401290108f101fdffffff310c5014110d2a110d22110d1f1129"
            "170f67772d3107692d31510402010103c0d03f400211051a11051a036d300361374104"
            "0211051a11050a036d300000"
        ),
        HoldingReport(
            "gw-1", "i-1", 41, 8, [AdapterHolding(KEY, 3, 0.25)], [BASE], -3, True, 12, 5200
        ),
    ),
    (
        "uses",
        (
            "1013500101011250020301093105840311092a1109221109270f67772d3107692d3141"
            "0802110d1a110d1a110d1a110d0a036d30036137036d300000"
        ),
        UseReport("gw-1", "i-1", 9, [KEY, BASE], 5, 900),
    ),
    (
        "early-refusal",
        "100c5001010113400311092a1109224108020f67772d3107692d3111051a11051a036d30036137",
        EarlyRefusal("gw-1", "i-1", KEY),
    ),
    (
        "death",
        (
            "10155001010114500203c0d03fc0e03f11092a11093211091f0f67772d311f692d312f"
            "3541040311092a11091611150e0f6630306411052a11051a0f3565356503316111012a"
            "0f35653565"
        ),
        DeathReport("gw-1", "i-1/5", 0.25, 0.5, [LostRun("f00d", ["5e5e", "1a"], ["5e5e"])]),
    ),
]


@pytest.mark.parametrize(
    ("text", "expected"), [d[1:] for d in DATAGRAMS], ids=[d[0] for d in DATAGRAMS]
)
def test_datagram_of_an_earlier_build_is_read(text, expected):
    assert decode_datagram(bytes.fromhex(text)) == expected
