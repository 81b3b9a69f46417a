"""A caller takes a stream up again while backend servers of two software versions serve.

Guards against answers that are joined of two versions, also after a restart of all gateways.
"""

from base64 import b64decode

import pytest

from medlarbeam.platform.tests.test_whole_path import BROKEN, STREAM, run, wait_until
from medlarbeam.standins.platform_worker import encode_event, reset_connection

REST = encode_event(2) + encode_event(3)
STREAMS_KEY = "medlarbeam/streams/n1"


async def restart(deployment):
    await deployment.shell.stop()
    await deployment.start_gateway()


async def restart_after_publication(deployment):
    items = deployment.store.items
    await wait_until(
        lambda: STREAMS_KEY in items and b"id-1" in b64decode(items[STREAMS_KEY].value)
    )
    await restart(deployment)


async def restart_without_record(deployment):
    deployment.shell.node.origins.origins.clear()
    await restart(deployment)


async def restart_and_silence_store(deployment):
    await restart_without_record(deployment)
    deployment.store.injected_fault = "silent"


async def start_engine_again(deployment):
    """Start the engines again under their names and at their addresses with another version."""
    for name in ("w1", "w2"):
        engine = deployment.workers[name]
        engine.incarnation += 1
        for writer in list(engine.connections):
            reset_connection(writer)


# What happens before the take-up, and the status of the answer.
TAKE_UPS = [
    ("gateway-goes-on-running", None, 200),
    ("gateway-restarts", restart_after_publication, 200),
    ("gateway-restarts-and-the-store-has-no-record", restart_without_record, 503),
]


@pytest.mark.parametrize(
    ("disrupt", "status"), [t[1:] for t in TAKE_UPS], ids=[t[0] for t in TAKE_UPS]
)
def test_take_up_is_not_joined_of_two_versions(disrupt, status):
    async def scenario(deployment, session):
        engines = [deployment.workers[name] for name in ("w1", "w2")]
        for number, engine in enumerate(engines):
            deployment.register(engine, software=f"v{number}")
        origins = deployment.shell.node.origins
        await wait_until(lambda: len(origins.versions.get("llm", ())) >= 2)
        deployment.set_response_mode("half")
        broken = await deployment.call(session, "chat", "id-1")
        deployment.set_response_mode("good")
        (other,) = [e for e in engines if "id-1" not in e.executed_attempts]
        if disrupt is not None:
            await disrupt(deployment)
        headers = {"Last-Event-Id": "1", "Resumes": "id-1"}
        answer = await deployment.call(session, "chat", "id-2", headers)
        return broken[0], answer, "id-2" in other.executed_attempts

    broken, answer, is_joined = run(scenario)
    assert broken == BROKEN
    assert answer[0] == status
    assert answer[1] == REST or status != 200
    assert not is_joined
    assert STREAM.endswith(REST)


# What the engines do before the take-up, and whether its rest is passed on.
ENGINES = [
    ("engines-go-on-running", None, 200),
    ("gateway-restarted-and-one-version-is-registered", restart_without_record, 200),
    ("gateway-restarted-and-the-store-does-not-respond", restart_and_silence_store, 503),
    ("engines-started-again-and-their-entries-are-not-read-yet", start_engine_again, 502),
]


@pytest.mark.parametrize(
    ("disrupt", "status"), [e[1:] for e in ENGINES], ids=[e[0] for e in ENGINES]
)
def test_rest_of_a_stream_does_not_come_from_another_start(disrupt, status):
    async def scenario(deployment, session):
        deployment.set_response_mode("half")
        broken = await deployment.call(session, "chat", "id-1")
        deployment.set_response_mode("good")
        if disrupt is not None:
            await disrupt(deployment)
        headers = {"Last-Event-Id": "1", "Resumes": "id-1"}
        return broken[0], await deployment.call(session, "chat", "id-2", headers)

    broken, answer = run(scenario)
    assert broken == BROKEN
    assert answer[0] == status
    assert answer[1] == REST or status != 200
