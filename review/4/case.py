"""Gateways miss a configuration for seconds after their connections to the store went silent.

Three gateways, nine model workers and three others. All open connections between the gateways and
the store go silent at once; new ones work. Half a second later the operator adds a route.
"""

import asyncio
import time
from pathlib import Path

from harness import TROUBLE, Deployment, Worker, build_route, request, run_case

HEARTBEAT_S = 1.2
CALM_S = 10.0  # after the start
CHANGE_AFTER_S = 0.5  # after the connections went silent
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
WATCHED_S = 14.0
ASK_INTERVAL_S = 0.05


async def keep_writing_entry(deployment, worker):
    """Write the entry of a worker at each heartbeat."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        worker.orders += 1
        deployment.store.register(worker)


async def keep_asking(deployment, gateway, path, record, results):
    """Send requests to one gateway and note when each was sent and what came back."""
    number = 0
    while True:
        number += 1
        attempt = f"{gateway.name[-1]}{path[1:4].encode().hex()}{number:08x}"
        sent_at = time.monotonic()
        headers = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "2500")]
        answer = await request(gateway.front, "GET", path, headers)
        results.append((sent_at, gateway.name, answer.status))
        record.add(f"client got from {gateway.name} for {path} ({attempt}): {answer.status}")
        await asyncio.sleep(ASK_INTERVAL_S)


async def main(record):
    """Play the case and return the exit status."""
    workers = [Worker(f"i-{number}", "llm", record) for number in range(1, 10)]
    workers += [Worker(f"i-{number}", "till", record) for number in range(10, 13)]
    read = build_route("read", "idempotent", "till", timeoutMs=1200, goalLatencyMs=150)
    new = build_route("new", "idempotent", "till", timeoutMs=1200, goalLatencyMs=150)
    async with Deployment(record, workers, [read], gateways=3) as deployment:
        tasks = [asyncio.create_task(keep_writing_entry(deployment, w)) for w in workers]
        old_results, new_results = [], []
        for gateway in deployment.gateways:
            asking = keep_asking(deployment, gateway, "/read/2f", record, old_results)
            tasks.append(asyncio.create_task(asking))
        await asyncio.sleep(CALM_S)
        silent_at = time.monotonic()
        if TROUBLE:
            counts = [link.silence() for link in deployment.store_links]
            record.add(f"connections to the store that go silent, by gateway: {counts}")
        await asyncio.sleep(CHANGE_AFTER_S)
        deployment.store.write_config([read, new])
        acknowledged_at = time.monotonic()
        record.add("the store acknowledges a configuration with the route /new/")
        for gateway in deployment.gateways:
            asking = keep_asking(deployment, gateway, "/new/2f", record, new_results)
            tasks.append(asyncio.create_task(asking))
        await asyncio.sleep(WATCHED_S)
        for task in tasks:
            task.cancel()
    due_at = max(acknowledged_at + CONFIG_APPLY_S, silent_at + CONTACT_S)
    late = [at - silent_at for at, _, status in new_results if status == 404 and at > due_at]
    served = sum(status == 200 for _, _, status in new_results)
    text = (
        f"{len(late)} requests on the new route got 404 though sent up to "
        f"{max(late, default=0.0):.2f} s after the connections went silent; "
        f"due from {due_at - silent_at:.2f} s; {served} of {len(new_results)} were served"
    )
    return record.conclude(bool(late), text)


if __name__ == "__main__":
    run_case(main, Path(__file__).parent)
