"""Short plays of harmful parts with fixed seeds against gateway processes."""

import asyncio

import pytest

from medlarbeam.soak.crash_checker import find_broken_rules
from medlarbeam.soak.crash_play import CrashConfig, run_crash_play

# Guards against gateways that take a crash for another end: a closed connection for that of a
# response without a length, and a probe that hangs or is accepted for a server that runs.
PLAYS = [
    ("closed-connection-ends-a-response-without-a-length", "closed", "unframed"),
    ("no-answer-to-a-new-connection", "dark", "chunked"),
    ("new-connection-is-accepted-and-closed", "proxied", "chunked"),
]


@pytest.mark.parametrize(("way", "framing"), [p[1:] for p in PLAYS], ids=[p[0] for p in PLAYS])
def test_few_harmful_requests_reach_workers_after_the_fifth_crash(way, framing, tmp_path):
    config = CrashConfig(way, framing, share=0.1, seconds=8.0, before_s=1.0, deadline_s=3.0)
    result = asyncio.run(run_crash_play(1, config, tmp_path))
    assert find_broken_rules(result) == [], result
    assert result.crashes > 0 and result.sent_before > 0
