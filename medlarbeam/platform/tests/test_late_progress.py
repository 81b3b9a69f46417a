"""Data that a gateway reads late does not show that the backend server still runs.

Guards against a former start that is confirmed by data that waited for a slow caller.
"""

import asyncio

from aiohttp.web import StreamResponse

from medlarbeam.classes.server_starts import RunProgressed
from medlarbeam.gateway.server_starts import MAX_TRANSIT_S
from medlarbeam.platform.server_client import ServerClient
from medlarbeam.platform.tests.test_whole_path import run, wait_until

WAIT_S = 0.3


def test_data_that_waited_for_a_slow_caller_is_no_progress_of_the_present(monkeypatch):
    clients, progress, released = [], [], []
    write, on_start = StreamResponse.write, ServerClient.on_start

    async def write_late(self, data):
        if not released:
            await wait_until(lambda: released)
        await write(self, data)

    async def remember(self):
        clients.append(self)
        await on_start(self)

    monkeypatch.setattr(StreamResponse, "write", write_late)
    monkeypatch.setattr(ServerClient, "on_start", remember)

    async def scenario(deployment, session):
        deployment.set_response_mode("paced")
        (client,) = [c for c in clients if c.session is not None]
        deliver = client.driver.deliver

        def record(message):
            if isinstance(message, RunProgressed):
                at = client.driver.read_clock()
                progress.append(getattr(message, "received_at", at))
            deliver(message)

        monkeypatch.setattr(client.driver, "deliver", record, raising=False)
        call = asyncio.create_task(deployment.call(session, "chat", "id-1"))
        await wait_until(lambda: deployment.count_runs("id-1"))
        await asyncio.sleep(0.5)
        for engine in (deployment.workers["w1"], deployment.workers["w2"]):
            engine.crash()  # all of the response has arrived by now
        ended_at = client.driver.read_clock()
        await asyncio.sleep(WAIT_S)
        assert client.runs
        client.watched_runs.update(client.runs)
        released.append(True)
        await call
        return ended_at

    ended_at = run(scenario)
    assert all(at <= ended_at + MAX_TRANSIT_S for at in progress)
