"""Faulty backend servers and callers, as operators of similar systems have reported them.

Guards against answers that belong to another request or are joined from two, refusals of requests
that ran, streams that never end, and malformed messages that end the process.
"""

import pytest

from medlarbeam.platform.tests.test_whole_path import STREAM, run

REPEATS = [
    ("late-second-copy-of-a-response", "repeat", "read", b"paid"),
    ("late-second-copy-of-a-stream", "repeat", "chat", STREAM),
    ("earlier-refusal-of-a-read-once-more", "repeat_refusal", "read", b"paid"),
    ("earlier-refusal-of-a-stream-once-more", "repeat_refusal", "chat", STREAM),
]


@pytest.mark.parametrize(
    ("response_mode", "name", "body"), [r[1:] for r in REPEATS], ids=[r[0] for r in REPEATS]
)
def test_repeated_response_is_not_taken_for_that_of_the_next_request(response_mode, name, body):
    async def scenario(deployment, session):
        if name == "chat":
            await deployment.call(session, name, "id-0")
        deployment.set_response_mode(response_mode)
        results = []
        for number in range(1, 7):
            attempt = f"id-{number}"
            status, seen = await deployment.call(session, name, attempt)
            results.append((status, seen, deployment.count_runs(attempt)))
        return results

    results = run(scenario)
    assert {seen for status, seen, _ in results if status == 200} <= {body}
    assert [r for r in results if r[0] in (408, 421, 429, 503) and r[2]] == []
    assert any(runs for _, _, runs in results)
