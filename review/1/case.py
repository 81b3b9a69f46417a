"""Streams of a machine that was cut off from all workers go on at another software version.

Three gateways, and four workers of a service, two of them of a newer software version. The first
gateway is cut off from all workers for 6 s and forwards its requests; 1.2 s after the cut has
healed, one of the gateways to which it forwards is killed, and restarted. This is played twice.
"""

import asyncio
import signal
from pathlib import Path

from harness import TROUBLE, Deployment, Worker, build_route, request, run_case

EVENTS = 20
EVENT_PAUSE_S = 0.2
STREAM_INTERVAL_S = 0.1
CUT_S = 6.0
KILL_AFTER_S = 1.2  # after the cut has healed
RESTART_S = 0.5
CALM_S = 3.5  # after each restart
HEARTBEAT_S = 1.2
ALLOWED_STREAMS = 2


class Engine(Worker):
    """Worker with streams of about 4 s, whose text names its software version."""

    async def stream(self, writer, headers, attempt):
        """Stream the events after Last-Event-Id."""
        after = headers.get("last-event-id", "0")
        self.record.add(f"worker {self.name} ({self.software}) streams {attempt} after {after}")
        return await super().stream(writer, headers, attempt, EVENTS, EVENT_PAUSE_S)


async def keep_writing_entry(deployment, worker):
    """Write the entry of a worker at each heartbeat."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        worker.orders += 1
        deployment.store.register(worker)


async def ask(gateway, number):
    """Ask for one stream and return the attempt id and the `Answer`."""
    attempt = f"{number:016x}"
    headers = [
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", "5000"),
        ("X-Model", "m0"),
        ("X-Token-Usage", "100,100"),
        ("X-Prompt-Prefix", f"5c1e07a2:50,{number:08x}:50"),
    ]
    return attempt, await request(gateway.front, "POST", "/chat/2f", headers, b"question")


async def ask_steadily(gateway, streams):
    """Start a stream at each interval."""
    while True:
        streams.append(asyncio.create_task(ask(gateway, len(streams) + 1)))
        await asyncio.sleep(STREAM_INTERVAL_S)


async def disrupt(deployment, record, killed):
    """Cut the first gateway off from all workers, and kill another one after the cut."""
    for link in deployment.links:
        link.cut()
    record.add("gw-1 is cut off from all workers")
    await asyncio.sleep(CUT_S)
    for link in deployment.links:
        await link.open()
    record.add("gw-1 reaches the workers again")
    await asyncio.sleep(KILL_AFTER_S)
    killed.send_signal(signal.SIGKILL)
    record.add(f"{killed.name} is killed")
    await asyncio.sleep(RESTART_S)
    await killed.restart()


async def main(record):
    """Play the case and return the exit status."""
    workers = [Engine(f"i-{number}", "llm", record) for number in range(1, 5)]
    for worker in workers[2:]:
        worker.software = "v2"
    routes = [build_route("chat", "streaming", "llm", resumable=True, gapAimMs=250)]
    async with Deployment(record, workers, routes, gateways=3, linked=(0,)) as deployment:
        tasks = [asyncio.create_task(keep_writing_entry(deployment, w)) for w in workers]
        await asyncio.sleep(2.0)
        streams = []
        tasks.append(asyncio.create_task(ask_steadily(deployment.gateways[0], streams)))
        await asyncio.sleep(2.0)
        for killed in deployment.gateways[1:]:
            if TROUBLE:
                await disrupt(deployment, record, killed)
            else:
                await asyncio.sleep(CUT_S + KILL_AFTER_S + RESTART_S)
            await asyncio.sleep(CALM_S)
        tasks.pop().cancel()
        answers = await asyncio.gather(*streams)
        for task in tasks:
            task.cancel()
    joined = 0
    for attempt, answer in answers:
        versions = sorted({event.partition("-")[0] for event in answer.events()})
        joined += len(versions) > 1
        record.add(
            f"client got for {attempt}: status {answer.status}, {answer.end}, "
            f"{len(answer.events())} events of {'+'.join(versions) or 'no version'}"
        )
    text = f"{joined} of {len(answers)} streams hold events of two software versions"
    return record.conclude(joined > ALLOWED_STREAMS, text)


if __name__ == "__main__":
    run_case(main, Path(__file__).parent)
